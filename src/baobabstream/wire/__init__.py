"""Protocol between the daemons: messages, codec, request/reply client and server."""
