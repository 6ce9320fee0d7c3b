"""One node process: proxy, membership peer, replica and operator endpoint."""

import signal
import threading
import time
from typing import Final

from absl import logging

from lycheestair import acceptance
from lycheestair import configuration
from lycheestair import control
from lycheestair import controller
from lycheestair import data_plane
from lycheestair import distribution
from lycheestair import evidence
from lycheestair import evidence_exchange
from lycheestair import generation_reports
from lycheestair import guard
from lycheestair import injection
from lycheestair import instruments
from lycheestair import joining
from lycheestair import keys
from lycheestair import logs
from lycheestair import membership as membership_lib
from lycheestair import operator_service
from lycheestair import ownership
from lycheestair import settings as settings_lib
from lycheestair import snapshot as snapshot_lib
from lycheestair import store as store_lib
from lycheestair import suspect_exchange
from lycheestair import telemetry
from lycheestair import voting

START_MESSAGE: Final = "node starts"
ACTIVATION_MESSAGE: Final = "configuration in force"
CONTROL_GRACE_S: Final = 1.0
SIGNAL_POLL_S: Final = 0.2
# Answers still have to be recorded at the key voters.
FLUSH_TIMEOUT_S: Final = 2.0


class Node:
    """The parts of a node, built from its settings."""

    def __init__(self, settings: settings_lib.Settings):
        self._metrics = telemetry.Metrics(settings)
        self.configuration = configuration.ActiveConfiguration()
        self._store = store_lib.HttpStore(settings.store)
        self._channels = control.PeerChannels(settings)
        self._server = control.ControlServer(settings)
        self.membership = membership_lib.GossipMembership(
            settings, self._channels, self.configuration
        )
        self._distributor = distribution.Distributor(
            settings,
            self._channels,
            self.configuration,
            self.membership,
            self._store,
        )
        table = evidence.EvidenceTable(settings)
        self._exchange = evidence_exchange.EvidenceExchange(
            settings, table, self._channels, self.membership
        )
        self._guard = guard.Guard(
            settings,
            table,
            self._exchange,
            self._channels,
            self.membership,
            self.configuration,
        )
        self._voter = keys.KeyVoter(
            settings, self.configuration, self.membership
        )
        self._joiner = joining.ShardJoiner(
            settings,
            self.configuration,
            self.membership,
            self._channels,
            self._voter,
        )
        self._claims = voting.VotingClaims(
            settings,
            self.configuration,
            self.membership,
            self._channels,
            self._voter,
        )
        self._data_plane = data_plane.DataPlane(
            settings,
            self.configuration,
            self.membership,
            table,
            self._guard,
            self._claims,
        )
        self._tracing = telemetry.Tracing(settings)
        self._data_plane.instrument(
            instruments.RequestInstruments(self._metrics, self._tracing).wrap
        )
        instruments.observe_node(
            self._metrics, self.configuration, self.membership, self._store
        )
        self._suspects = suspect_exchange.SuspectExchange(
            settings,
            self._data_plane.suspects,
            self._channels,
            self.membership,
        )
        # Last, so that a snapshot that another part refuses is not logged.
        self.configuration.subscribe(_log_activation)
        self._data_plane.metrics = lambda: (
            telemetry.CONTENT_TYPE,
            self._metrics.render(),
        )
        self._controller = controller.Controller(
            settings,
            self._store,
            self.configuration,
            self.membership,
            self._exchange,
            self._distributor.publish,
            ownership.ShardPlanner().plan,
        )
        self._operators = operator_service.OperatorService(
            settings,
            acceptance.NoteAcceptor(
                self._store, lambda: self.configuration.current
            ),
            self.configuration,
            self.membership,
            self._store,
            self._distributor.publish,
            self._data_plane.suspects,
            refresh_generations=lambda: (
                generation_reports.refresh_generations(self.membership)
            ),
        )

    def start(self) -> None:
        """Starts to listen, learns the configuration, then serves."""
        injection.reach(injection.Point.NODE_STARTING)
        for part in (
            self.membership,
            self._distributor,
            self._voter,
            self._operators,
        ):
            part.register(self._server)
        self._server.register(self._exchange.register)
        self._server.register(self._suspects.register)
        self._server.start()
        self._data_plane.start()
        self.membership.start()
        if not self._distributor.boot():
            logging.warning("no peer and no store could be reached at start")
        self._distributor.start()
        self._exchange.start()
        self._suspects.start()
        self._guard.start()
        self._joiner.start()
        self._controller.start()
        self._data_plane.ready = True
        injection.reach(injection.Point.NODE_SERVING)
        logging.info("node is serving")

    def stop(self) -> None:
        """Drains, leaves and ends; cuts no request within the drain time."""
        injection.reach(injection.Point.NODE_DRAINING)
        self._data_plane.drain()
        self._claims.flush(FLUSH_TIMEOUT_S)
        injection.reach(injection.Point.NODE_LEAVING)
        self.membership.leave()
        for part in (
            self._controller,
            self._joiner,
            self._guard,
            self._exchange,
            self._suspects,
            self._distributor,
            self.membership,
            self._data_plane,
        ):
            part.stop()
        self._server.stop(CONTROL_GRACE_S)
        self._channels.close()
        self._tracing.shutdown()
        logging.info("node has left")


def run(settings: settings_lib.Settings) -> int:
    """Runs a node until SIGTERM or SIGINT.

    Returns:
      Exit code of the process.
    """
    logs.configure(settings.node.node_id, settings.telemetry)
    logging.info(START_MESSAGE)
    injection.configure(settings)
    stop = threading.Event()
    for number in (signal.SIGTERM, signal.SIGINT):
        signal.signal(number, lambda *_: stop.set())
    node = Node(settings)
    node.start()
    # The kernel may deliver a signal to any thread, but Python runs its handler
    # in the main thread only, and only once that wakes.
    while not stop.wait(SIGNAL_POLL_S):
        pass
    node.stop()
    return 0


def _log_activation(snapshot: snapshot_lib.Snapshot) -> None:
    logs.log_fields(
        ACTIVATION_MESSAGE,
        {
            "generation": snapshot.generation,
            "digest": snapshot.digest,
            "note_id": snapshot.note_id,
            "dangling": len(snapshot_lib.find_dangling_references(snapshot)),
            "at": time.time(),
        },
    )
