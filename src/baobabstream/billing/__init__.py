"""Storage of bills on the control hosts and their delivery by the entry hosts."""
