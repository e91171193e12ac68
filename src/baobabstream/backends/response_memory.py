"""Limit on the memory of the answers that one process buffers."""

__all__ = ["MAX_RESPONSE_MEMORY_BYTES", "NO_MEMORY_REASON"]

# Limit for the bodies of all answers that are being buffered, however much memory the host has.
MAX_RESPONSE_MEMORY_BYTES = 32 * 1024 * 1024
# Reason of the failure of an answer that got none, or gave way.
NO_MEMORY_REASON = "no memory is left for the answer"
