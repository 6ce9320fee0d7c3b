"""All connections of clients to a node, and what they may take together."""

from typing import Final

from lycheestair import request_memory
from lycheestair.sidecar import clock
from lycheestair.sidecar import event_log
from lycheestair.sidecar import metrics
from lycheestair.sidecar import serving
from lycheestair.sidecar import settings as settings_lib
from lycheestair.sidecar import streams
from lycheestair.sidecar.ingress import connection
from lycheestair.sidecar.ingress import memory as memory_lib

# Part of the file descriptors for everything else: nodes, the backend server,
# heartbeats, readiness checks, the store, and connections that are accepted only
# to be refused. The larger of the fraction and the number is kept.
DESCRIPTOR_RESERVE_RATIO: Final = 0.375
MIN_DESCRIPTOR_RESERVE: Final = 64
# Connections that clients may have whatever the settings say.
MIN_CONNECTIONS: Final = 16
# Connections accepted in one turn of the event loop. It takes five turns until one
# that is refused has given its descriptor back; with 16 a turn, 60 descriptors were
# in use beyond the limit.
ACCEPT_BATCH: Final = 4
# Connections that have been told to close at a time, beyond the limit.
MAX_CLOSING: Final = 8


class ClientListener:
    """Serves the connections of clients and of the local backend server."""

    def __init__(
        self,
        handler: connection.RequestHandler,
        settings: settings_lib.SidecarSettings,
        log: event_log.EventLog,
        node_metrics: metrics.Metrics,
    ):
        """Initializes a listener without connections.

        Args:
          handler: Runs the requests.
          settings: Settings of the node.
          log: Log of the node.
          node_metrics: Metrics of the node.
        """
        self._handler = handler
        # Connections from this address are made by the local backend server.
        self._backend_host = streams.split_address(settings.server_address)[0]
        self._log = log
        self._metrics = node_metrics
        self._connections: set[connection.ClientConnection] = set()
        # Connections that have been told to close and still have a descriptor.
        self._shed: set[connection.ClientConnection] = set()
        self._max_connections = compute_max_connections(
            settings.max_descriptors
        )
        self._memory = request_memory.RequestMemory(
            memory_lib.compute_limit(
                settings.memory_bytes, serving.ANSWER_MEMORY_RATIO
            )
        )
        for name, read_value in {
            "client_connections": lambda: float(len(self._connections)),
            "client_connections_limit": lambda: float(self._max_connections),
            "client_memory_bytes": lambda: float(self._memory.used),
            "client_memory_limit_bytes": lambda: float(self._memory.limit),
        }.items():
            node_metrics.add_gauge(name, read_value)

    @property
    def in_progress(self) -> int:
        """Number of requests whose response has not been sent yet."""
        return sum(client.in_progress for client in self._connections)

    async def serve(self, stream: streams.Stream) -> None:
        """Serves requests on a connection until it is closed."""
        client = connection.ClientConnection(
            stream,
            self._handler,
            stream.peer_host == self._backend_host,
            self._memory,
            self._log,
            self._metrics,
        )
        if len(self._connections) >= self._max_connections:
            if len(self._shed) < MAX_CLOSING:
                self._shed_connection("connections")
            if len(self._connections) >= self._max_connections:
                client.refuse("connections")
                return
        buffer_bytes = max(
            connection.MIN_BUFFER_BYTES, self._handler.limits.max_header_bytes
        )
        charged_bytes = memory_lib.CONNECTION_BYTES + buffer_bytes
        if not self._memory.take(charged_bytes, charged_bytes):
            self._shed_connection("memory")
            client.refuse("memory")
            return
        stream.max_buffered = buffer_bytes
        self._connections.add(client)
        try:
            await client.serve()
        finally:
            self._connections.discard(client)
            self._shed.discard(client)
            self._memory.give_back(charged_bytes)

    def _shed_connection(self, reason: str) -> None:
        """Closes the connection that has been without progress for longest.

        Those with an incomplete request come first, then idle ones.
        """
        now = clock.read_s()
        client = max(
            (
                client
                for client in self._connections
                if client.read_stalled_s(now) > request_memory.STALL_S
                or client.is_slow(now)
            ),
            key=lambda client: (
                not client.is_idle,
                client.read_stalled_s(now),
            ),
            default=None,
        )
        if client is not None:
            client.shed(reason)
            self._connections.discard(client)
            self._shed.add(client)

    def close(self) -> None:
        """Closes all connections."""
        for client in [*self._connections, *self._shed]:
            client.close()

    def close_idle(self) -> None:
        """Closes connections that have no request in progress."""
        for client in list(self._connections):
            if client.is_idle:
                client.close()


def compute_max_connections(max_descriptors: int) -> int:
    """Returns the number of connections that clients may have."""
    reserve = max(
        MIN_DESCRIPTOR_RESERVE, int(max_descriptors * DESCRIPTOR_RESERVE_RATIO)
    )
    return max(MIN_CONNECTIONS, max_descriptors - reserve)
