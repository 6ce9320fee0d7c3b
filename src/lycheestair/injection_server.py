"""Server that blocks nodes at injection points while a fault is applied."""

from collections.abc import Callable
import contextlib
import socket
import threading
from typing import Final

import orjson

from lycheestair import injection

MAX_LINE_BYTES: Final = 4_096

Action = Callable[[str], None]


class InjectionServer:
    """Runs an action the first time that a node reaches an armed point.

    The node is blocked until the action has run. Nodes subscribe to the set
    of armed points and report only these.
    """

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._armed: dict[injection.Point, tuple[Action, threading.Event]] = {}
        self._subscribers: list[socket.socket] = []
        self._listener = socket.create_server(("127.0.0.1", 0), backlog=256)
        threading.Thread(target=self._accept_connections, daemon=True).start()

    @property
    def address(self) -> str:
        """Value of `injection_address` in the test settings of the nodes."""
        host, port = self._listener.getsockname()
        return f"{host}:{port}"

    def arm(self, point: injection.Point, action: Action) -> threading.Event:
        """Arms a point: the next node that reaches it triggers an action.

        Args:
          point: Injection point to arm.
          action: Called with the id of the node.

        Returns:
          An event that is set after the action has run.
        """
        action_done = threading.Event()
        with self._lock:
            self._armed[point] = (action, action_done)
            self._publish_points()
        return action_done

    def disarm(self) -> None:
        """Disarms all points."""
        with self._lock:
            self._armed.clear()
            self._publish_points()

    def close(self) -> None:
        """Closes the listening socket."""
        self._listener.close()

    def _accept_connections(self) -> None:
        with contextlib.suppress(OSError):
            while True:
                connection, _ = self._listener.accept()
                threading.Thread(
                    target=self._handle_connection,
                    args=(connection,),
                    daemon=True,
                ).start()

    def _handle_connection(self, connection: socket.socket) -> None:
        with contextlib.suppress(OSError):
            line = connection.recv(MAX_LINE_BYTES)
            report = orjson.loads(line or b"{}")
            # "follow" is no point; it subscribes to the set of armed points.
            if report.get("point") == "follow":
                with self._lock:
                    self._subscribers.append(connection)
                    connection.sendall(self._encode_points())
                return
            with connection:
                if report:
                    self._handle_report(report["point"], report["node"])
                    connection.sendall(b"\n")

    def _handle_report(self, name: str, node: str) -> None:
        with self._lock:
            armed = self._armed.pop(injection.Point(name), None)
            self._publish_points()
        if armed is not None:
            action, action_done = armed
            action(node)
            action_done.set()

    def _encode_points(self) -> bytes:
        return orjson.dumps([point.value for point in self._armed]) + b"\n"

    def _publish_points(self) -> None:
        for subscriber in list(self._subscribers):
            try:
                subscriber.sendall(self._encode_points())
            except OSError:
                self._subscribers.remove(subscriber)
