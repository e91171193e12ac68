"""What an answer fails with that finds no memory beside the other answers of the process."""

__all__ = ["NO_MEMORY_REASON"]

# Reason of the failure of an answer that got none, or gave way.
NO_MEMORY_REASON = "no memory is left for the answer"
