"""HTTP servers whose clients together cannot take the memory or the descriptors of the process."""
