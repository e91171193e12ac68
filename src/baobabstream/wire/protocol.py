"""Version of the protocol between daemons."""

__all__ = ["PROTOCOL_VERSION"]

# Each frame, that is each encoded message, carries this number. Frames of another version are
# refused with WRONG_PROTOCOL_VERSION.
PROTOCOL_VERSION = 1
