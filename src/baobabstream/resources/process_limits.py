"""Limits of a process, and the parts of them that its clients, answers and own links may use.

The parts are fractions of what is left once the process itself has what it needs, so that the same
daemon runs on small and large hosts.
"""

from dataclasses import dataclass

__all__ = [
    "BYTES_PER_MB",
    "MAX_RESPONSE_MEMORY_BYTES",
    "MAX_SMALL_REQUEST_BYTES",
    "RECEIVE_BUFFER_BYTES",
    "WRITE_BUFFER_BYTES",
    "ProcessLimits",
]

# Bytes of a megabyte in the settings.
BYTES_PER_MB = 1_000_000
# Memory of a gateway or coordination daemon without clients: the interpreter, the libraries and the
# state of the cluster.
FIXED_MEMORY_BYTES = 56_000_000
# Least memory for clients and answers, on hosts that are smaller than a daemon needs.
MIN_VARIABLE_BYTES = 8_000_000
# Descriptors that the platform reserves for files such as libraries and logs.
RESERVED_DESCRIPTORS = 200
# Option SO_RCVBUF of the sockets of clients. Linux doubles it, and lets that many bytes wait.
RECEIVE_BUFFER_BYTES = 16 * 1024
# Bytes of an answer that wait for a client to read, beyond which no more are written.
WRITE_BUFFER_BYTES = 16 * 1024
# Most memory of one connection, without the requests on it: the buffers of its socket, a block that
# has been read from it, what waits to be written, and the objects that serve it.
CONNECTION_BYTES = 2 * RECEIVE_BUFFER_BYTES + WRITE_BUFFER_BYTES + 16 * 1024

# Further memory of a connection with TLS: the buffers of asyncio, and the objects of the library.
TLS_BYTES = 2 * RECEIVE_BUFFER_BYTES + WRITE_BUFFER_BYTES + 64 * 1024

# Parts of the memory that the process itself does not need: for the connections and the requests of
# clients, and for the connections of other daemons. The rest is a margin for memory that the
# allocator cannot return.
CONNECTIONS_FRACTION, REQUESTS_FRACTION, PEER_CONNECTIONS_FRACTION = 0.2, 0.4, 0.1
# Part for the answers of backend servers on an entry host, and for the messages of other daemons on
# a control host.
MESSAGES_FRACTION = 0.2
# Limit for the bodies of all answers that are being buffered, however much memory the host has.
MAX_RESPONSE_MEMORY_BYTES = 32 * 1024 * 1024
# Part of the memory for requests that only small ones may use, and the size of these: any head
# without very many fields, and a body of some tens of kilobytes.
SMALL_REQUESTS_FRACTION = 0.3
MAX_SMALL_REQUEST_BYTES = 64 * 1024
# Parts of the descriptors for accepted connections of clients, for those in the queue of their
# listening socket, which are accepted all at once, and for accepted connections of other daemons.
# The rest is for connections that the process opens.
CLIENTS_DESCRIPTOR_FRACTION, QUEUE_DESCRIPTOR_FRACTION = 0.35, 0.15
PEERS_DESCRIPTOR_FRACTION = 0.25
MAX_ACCEPT_BACKLOG = 1024


@dataclass(frozen=True, slots=True)
class ProcessLimits:
    """What a process may use.

    Parameters
    ----------
    memory_bytes
        Largest memory of the process; bytes that its sockets hold unread count too.
    max_descriptors
        Largest number of open descriptors, with those that are reserved for files.
    fixed_bytes
        Part of the memory that the process needs without any clients.
    clients_use_tls, peers_use_tls
        Whether the connections of clients, and of other daemons, use TLS.
    """

    memory_bytes: int = 128_000_000
    max_descriptors: int = 1024
    fixed_bytes: int = FIXED_MEMORY_BYTES
    clients_use_tls: bool = False
    peers_use_tls: bool = False

    @property
    def max_client_connections(self) -> int:
        """Number of connections of clients at all listening sockets together."""
        connection_bytes = _connection_bytes(self.clients_use_tls)
        by_memory = self._variable_bytes * CONNECTIONS_FRACTION / connection_bytes
        return int(min(by_memory, self._free_descriptors * CLIENTS_DESCRIPTOR_FRACTION))

    @property
    def request_bytes(self) -> int:
        """Bytes that the requests of all clients may take together."""
        return int(self._variable_bytes * REQUESTS_FRACTION)

    @property
    def small_request_bytes(self) -> int:
        """Part of ``request_bytes`` that only small requests may use."""
        return int(self.request_bytes * SMALL_REQUESTS_FRACTION)

    @property
    def max_peer_connections(self) -> int:
        """Number of connections that other daemons may open to this one."""
        connection_bytes = _connection_bytes(self.peers_use_tls)
        by_memory = self._variable_bytes * PEER_CONNECTIONS_FRACTION / connection_bytes
        return int(min(by_memory, self._free_descriptors * PEERS_DESCRIPTOR_FRACTION))

    @property
    def message_bytes(self) -> int:
        """Bytes that messages of other daemons may take together."""
        return int(self._variable_bytes * MESSAGES_FRACTION)

    @property
    def response_bytes(self) -> int:
        """Bytes that the answers of backend servers may take together while they are buffered."""
        return min(MAX_RESPONSE_MEMORY_BYTES, self.message_bytes)

    @property
    def accept_backlog(self) -> int:
        """Number of connections that may wait to be accepted."""
        return min(MAX_ACCEPT_BACKLOG, int(self._free_descriptors * QUEUE_DESCRIPTOR_FRACTION))

    @property
    def _variable_bytes(self) -> int:
        """Memory that the process itself does not need."""
        return max(MIN_VARIABLE_BYTES, self.memory_bytes - self.fixed_bytes)

    @property
    def _free_descriptors(self) -> int:
        """Descriptors that are not reserved for files."""
        return max(1, self.max_descriptors - RESERVED_DESCRIPTORS)


def _connection_bytes(uses_tls: bool) -> int:
    """Return the most memory of one connection, without the requests on it."""
    return CONNECTION_BYTES + TLS_BYTES if uses_tls else CONNECTION_BYTES
