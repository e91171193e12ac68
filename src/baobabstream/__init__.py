"""Model-aware router that answers for quality, latency and cost per class of work."""

__all__ = ["__version__"]

__version__ = "0.1.0"
