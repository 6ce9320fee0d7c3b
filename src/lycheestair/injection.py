"""Injection points at which failure tests block a node to apply a fault.

If the test settings name an injection server, a node that reaches an armed
point reports it and blocks until the server replies. Meanwhile the test can
kill or pause the process, or inject faults into the store or the network. In
production no server is configured and reaching a point costs one set lookup.
"""

import contextlib
import enum
import socket
import threading
from typing import Final

from absl import logging
import orjson

from lycheestair import settings as settings_lib

REPLY_TIMEOUT_S: Final = 20.0
MAX_LINE_BYTES: Final = 4_096


class Point(enum.Enum):
    """Steps of a node at which a fault can be injected."""

    NOTE_SUBMITTED = "note_submitted"
    NOTE_ACCEPTED = "note_accepted"
    NOTE_COMPILED = "note_compiled"
    CONFIGURATION_FETCHED = "configuration_fetched"
    CONFIGURATION_PUSHED = "configuration_pushed"
    CONFIGURATION_ACTIVATED = "configuration_activated"
    MOVE_PLANNED = "move_planned"
    MOVE_STEPPED = "move_stepped"
    MOVE_JUDGED = "move_judged"
    MOVE_DONE = "move_done"
    MOVE_TAKEN_BACK = "move_taken_back"
    REQUEST_RECEIVED = "request_received"
    REQUEST_ROUTED = "request_routed"
    REQUEST_ADMITTED = "request_admitted"
    REQUEST_SENT = "request_sent"
    REQUEST_ANSWERED = "request_answered"
    REQUEST_RECORDED = "request_recorded"
    NODE_STARTING = "node_starting"
    NODE_SERVING = "node_serving"
    NODE_DRAINING = "node_draining"
    NODE_LEAVING = "node_leaving"
    LEASE_TAKEN = "lease_taken"
    LEASE_RENEWED = "lease_renewed"
    LEASE_LOST = "lease_lost"


class _ServerConnection:
    """Connection to the injection server.

    Attributes:
      armed_points: Points at which this node must block.
      address: Host and port of the server.
      node_id: Id of this node.
    """

    def __init__(self) -> None:
        self.armed_points: frozenset[Point] = frozenset()
        self.address = ("", 0)
        self.node_id = ""

    def receive_points(self, connection: socket.socket) -> None:
        """Updates the armed points until the server closes the connection."""
        with contextlib.suppress(OSError), connection.makefile("rb") as lines:
            for line in lines:
                self.armed_points = frozenset(map(Point, orjson.loads(line)))
        self.armed_points = frozenset()


_server_connection: Final = _ServerConnection()


def configure(settings: settings_lib.Settings) -> None:
    """Connects to the injection server of the test settings, if any.

    The server sends the armed points; reaching any other point causes no
    network traffic.

    Raises:
      OSError: The injection server can't be reached.
    """
    if not settings.test.injection_address:
        return
    host, _, port = settings.test.injection_address.rpartition(":")
    _server_connection.address = (host, int(port))
    _server_connection.node_id = settings.node.id
    connection = socket.create_connection(
        _server_connection.address, REPLY_TIMEOUT_S
    )
    # Subscribes to the set of armed points.
    connection.sendall(_encode("follow"))
    first_line = connection.recv(MAX_LINE_BYTES)
    _server_connection.armed_points = frozenset(
        map(Point, orjson.loads(first_line))
    )
    connection.settimeout(None)
    threading.Thread(
        target=_server_connection.receive_points,
        args=(connection,),
        daemon=True,
    ).start()
    logging.warning("fault injection is enabled")


def reach(point: Point) -> None:
    """Reports the point if it is armed and waits for the server's reply."""
    if point not in _server_connection.armed_points:
        return
    try:
        with socket.create_connection(
            _server_connection.address, 1.0
        ) as connection:
            connection.settimeout(REPLY_TIMEOUT_S)
            connection.sendall(_encode(point.value))
            connection.recv(1)
    except OSError as error:
        # A node must keep running after the injection server has exited.
        logging.warning("could not report injection point: %s", error)


def _encode(point: str) -> bytes:
    return (
        orjson.dumps({"node": _server_connection.node_id, "point": point})
        + b"\n"
    )
