"""A node process: proxy, membership, configuration replica and operator API."""

import signal
import threading
import time
from typing import Final

from absl import logging

from lycheestair import acceptance
from lycheestair import allocator
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
from lycheestair import suspect_records
from lycheestair import telemetry
from lycheestair import voting

START_MESSAGE: Final = "node starts"
ACTIVATION_MESSAGE: Final = "configuration in force"
CONTROL_STOP_GRACE_S: Final = 1.0
SIGNAL_POLL_PERIOD_S: Final = 0.2
# Limits the wait until the key voters have recorded the latest responses.
RESPONSE_FLUSH_TIMEOUT_S: Final = 2.0


class Node:
    """The components of a node, created from its settings."""

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
        evidence_table = evidence.EvidenceTable(settings)
        self._evidence_exchange = evidence_exchange.EvidenceExchange(
            settings, evidence_table, self._channels, self.membership
        )
        self._guard = guard.Guard(
            settings,
            evidence_table,
            self._evidence_exchange,
            self._channels,
            self.membership,
            self.configuration,
        )
        self._key_voter = keys.KeyVoter(
            settings, self.configuration, self.membership
        )
        self._shard_joiner = joining.ShardJoiner(
            settings,
            self.configuration,
            self.membership,
            self._channels,
            self._key_voter,
        )
        self._claims = voting.QuorumClaims(
            settings,
            self.configuration,
            self.membership,
            self._channels,
            self._key_voter,
        )
        self._data_plane = data_plane.DataPlane(
            settings,
            self.configuration,
            self.membership,
            evidence_table,
            self._guard,
            self._claims,
        )
        self._tracing = telemetry.Tracing(settings)
        self._data_plane.instrument(
            instruments.RequestInstruments(self._metrics, self._tracing).wrap
        )
        instruments.create_node_gauges(
            self._metrics,
            self.configuration,
            self.membership,
            self._store,
            self._data_plane.read_server_limit,
        )
        instruments.create_caller_gauges(
            self._metrics,
            self._data_plane.read_request_memory,
            self._data_plane.read_shed_connections,
        )
        self._suspect_exchange = suspect_exchange.SuspectExchange(
            settings,
            self._data_plane.suspects,
            self._channels,
            self.membership,
        )
        self._suspect_records = suspect_records.SuspectRecords(
            self._store, self._data_plane.suspects, self.membership
        )
        # Subscribes after all other components, so that a snapshot that one of
        # them rejects is not logged.
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
            self._evidence_exchange,
            self._distributor.publish,
            ownership.ShardPlanner().plan,
        )
        self._operator_service = operator_service.OperatorService(
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
            explainer=self._data_plane.explainer,
        )

    def start(self) -> None:
        """Starts listening, fetches the configuration and begins to serve."""
        injection.reach(injection.Point.NODE_STARTING)
        for component in (
            self.membership,
            self._distributor,
            self._key_voter,
            self._operator_service,
        ):
            component.register(self._server)
        self._server.register(self._evidence_exchange.register)
        self._server.register(self._suspect_exchange.register)
        self._server.start()
        self._data_plane.start()
        self.membership.start()
        if not self._distributor.boot():
            logging.warning("could reach neither a peer nor the store at start")
        self._suspect_records.restore()
        self._distributor.start()
        self._evidence_exchange.start()
        self._suspect_exchange.start()
        self._suspect_records.start()
        self._guard.start()
        self._shard_joiner.start()
        self._controller.start()
        self._data_plane.ready = True
        injection.reach(injection.Point.NODE_SERVING)
        logging.info("node is serving")

    def stop(self) -> None:
        """Drains, leaves the membership and stops.

        Requests that finish within the drain timeout are not interrupted.
        """
        injection.reach(injection.Point.NODE_DRAINING)
        self._data_plane.drain()
        self._claims.flush(RESPONSE_FLUSH_TIMEOUT_S)
        injection.reach(injection.Point.NODE_LEAVING)
        self.membership.leave()
        for component in (
            self._controller,
            self._shard_joiner,
            self._guard,
            self._evidence_exchange,
            self._suspect_exchange,
            self._suspect_records,
            self._distributor,
            self.membership,
            self._data_plane,
        ):
            component.stop()
        self._server.stop(CONTROL_STOP_GRACE_S)
        self._channels.close()
        self._tracing.shutdown()
        logging.info("node has left")


def run(settings: settings_lib.Settings) -> int:
    """Runs a node until SIGTERM or SIGINT.

    Returns:
      The exit code of the process.
    """
    allocator.limit_held_memory()
    logs.configure(settings.node.node_id, settings.telemetry)
    logging.info(START_MESSAGE)
    injection.configure(settings)
    stop_requested = threading.Event()
    for signal_number in (signal.SIGTERM, signal.SIGINT):
        signal.signal(signal_number, lambda *_: stop_requested.set())
    node = Node(settings)
    node.start()
    # The kernel may deliver the signal to any thread, but Python runs the
    # handler only in the main thread, and not while that is blocked. A wait
    # with a timeout lets the handler run within one poll period.
    while not stop_requested.wait(SIGNAL_POLL_PERIOD_S):
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
            "dangling": len(snapshot_lib.find_inconsistencies(snapshot)),
            "at": time.time(),
        },
    )
