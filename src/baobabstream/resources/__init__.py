"""Memory and descriptors of a process, and what it may spend of them on its clients."""
