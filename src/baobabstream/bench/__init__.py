"""Policy bench: seeded workloads in virtual time against a small fake of the engines."""
