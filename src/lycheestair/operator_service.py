"""gRPC service for operators."""

from collections.abc import Callable
from collections.abc import Sequence
import dataclasses
from typing import NoReturn
from typing import Protocol

from absl import logging
import grpc

from lycheestair import acceptance
from lycheestair import configuration as configuration_lib
from lycheestair import control
from lycheestair import explanation
from lycheestair import ids
from lycheestair import members as members_lib
from lycheestair import messages as messages_lib
from lycheestair import operator_pb2
from lycheestair import operator_pb2_grpc
from lycheestair import settings as settings_lib
from lycheestair import snapshot as snapshot_lib
from lycheestair import status
from lycheestair import store as store_lib
from lycheestair import suspects as suspects_lib
from lycheestair import tls


class SuspectRegistry(Protocol):
    """Requests suspected of crashing backend servers."""

    def list_entries(self) -> Sequence[suspects_lib.SuspectSummary]:
        """Returns the suspects that the node knows."""

    def release(self, fingerprint: str) -> bool:
        """Clears a suspect in the whole fleet; returns False if unknown."""


class RequestExplainer(Protocol):
    """Decisions of the node on requests of its clients."""

    def explain(
        self, request: messages_lib.Request
    ) -> operator_pb2.ExplainReply:
        """Returns where a request would be sent now, without sending it."""


class OperatorService:
    """Serves the requests of operators at one node."""

    def __init__(
        self,
        settings: settings_lib.Settings,
        acceptor: acceptance.NoteAcceptor,
        configuration: configuration_lib.ActiveConfiguration,
        membership: members_lib.Membership,
        store: store_lib.Store,
        publish: Callable[[snapshot_lib.Snapshot], None],
        suspects: SuspectRegistry | None = None,
        refresh_generations: Callable[[], None] = lambda: None,
        explainer: RequestExplainer | None = None,
    ):
        """Initializes the service.

        Args:
          settings: Settings of the node.
          acceptor: Validates and applies notes.
          configuration: Active configuration of the node.
          membership: Members known to the node.
          store: Store that holds the notes and finished moves.
          publish: Called with the snapshot of each note accepted here, so
            that its distribution need not wait for the feeder's watch.
          suspects: Suspected requests, None if they are not tracked.
          refresh_generations: Updates the generations in the member records;
            called before a status is built.
          explainer: Explains requests, None if the node serves none.
        """
        self._settings = settings
        self._acceptor = acceptor
        self._configuration = configuration
        self._membership = membership
        self._store = store
        self._publish = publish
        self._suspects = suspects
        self._refresh_generations = refresh_generations
        self._explainer = explainer

    def register(self, server: control.ControlServer) -> None:
        """Registers the service; call it before the server starts."""
        server.register(
            lambda grpc_server: operator_pb2_grpc.add_OperatorServicer_to_server(
                self, grpc_server
            )
        )

    def ApplyNote(  # noqa: N802
        self,
        request: operator_pb2.ApplyNoteRequest,
        context: grpc.ServicerContext,
    ) -> operator_pb2.ApplyNoteReply:
        """Applies a note."""
        self._authorize_operator(context)
        try:
            outcome = self._acceptor.apply(request.text)
        except (
            store_lib.StoreUnavailableError,
            acceptance.StoredConfigurationError,
        ) as error:
            _abort_unavailable(context, error)
        if isinstance(outcome, acceptance.Rejected):
            return operator_pb2.ApplyNoteReply(
                rejected=operator_pb2.NoteRejected(messages=outcome.messages)
            )
        if isinstance(outcome, acceptance.Superseded):
            return operator_pb2.ApplyNoteReply(
                overtaken=operator_pb2.NoteOvertaken(
                    winner=outcome.winner, generation=outcome.generation
                )
            )
        logging.info(
            "note %s accepted as generation %d",
            outcome.note_id,
            outcome.generation,
        )
        if outcome.snapshot is not None:
            self._publish(outcome.snapshot)
        return operator_pb2.ApplyNoteReply(
            accepted=operator_pb2.NoteAccepted(
                note_id=outcome.note_id, generation=outcome.generation
            )
        )

    def CheckNote(  # noqa: N802
        self,
        request: operator_pb2.CheckNoteRequest,
        context: grpc.ServicerContext,
    ) -> operator_pb2.CheckNoteReply:
        """Validates a note against the newest known configuration."""
        messages, generation = self._acceptor.check(request.text)
        return operator_pb2.CheckNoteReply(
            messages=messages, generation=generation
        )

    def ListNotes(  # noqa: N802
        self,
        request: operator_pb2.ListNotesRequest,
        context: grpc.ServicerContext,
    ) -> operator_pb2.ListNotesReply:
        """Lists notes, newest first."""
        try:
            return status.list_notes(self._store, request.limit)
        except (
            store_lib.StoreUnavailableError,
            acceptance.StoredConfigurationError,
        ) as error:
            _abort_unavailable(context, error)

    def ReadStatus(  # noqa: N802
        self, request: operator_pb2.StatusRequest, context: grpc.ServicerContext
    ) -> operator_pb2.StatusReply:
        """Returns the state of the fleet as seen by this node."""
        self._refresh_generations()
        return status.build_status(self._build_fleet_view(), request.limit)

    def ReadMove(  # noqa: N802
        self, request: operator_pb2.MoveRequest, context: grpc.ServicerContext
    ) -> operator_pb2.MoveStatus:
        """Returns the state of a move."""
        try:
            move = status.find_move(
                self._configuration.current,
                self._store,
                ids.MoveId(request.move_id),
            )
        except (
            store_lib.StoreUnavailableError,
            acceptance.StoredConfigurationError,
        ) as error:
            _abort_unavailable(context, error)
        if move is None:
            context.abort(
                grpc.StatusCode.NOT_FOUND,
                f"no move has the id {request.move_id!r}",
            )
        return status.build_move(move, self._settings.moves)

    def ListSuspects(  # noqa: N802
        self,
        request: operator_pb2.ListSuspectsRequest,
        context: grpc.ServicerContext,
    ) -> operator_pb2.ListSuspectsReply:
        """Lists the suspected requests that this node knows."""
        entries = self._suspects.list_entries() if self._suspects else ()
        return operator_pb2.ListSuspectsReply(
            suspects=[
                operator_pb2.Suspect(**dataclasses.asdict(entry))
                for entry in entries[: status.MAX_LIST_ENTRIES]
            ]
        )

    def ReleaseSuspect(  # noqa: N802
        self,
        request: operator_pb2.ReleaseSuspectRequest,
        context: grpc.ServicerContext,
    ) -> operator_pb2.ReleaseSuspectReply:
        """Clears a suspected request."""
        self._authorize_operator(context)
        found = self._suspects is not None and self._suspects.release(
            request.fingerprint
        )
        logging.info(
            "release of suspect %s: %s",
            request.fingerprint,
            "released" if found else "unknown suspect",
        )
        return operator_pb2.ReleaseSuspectReply(found=found)

    def Explain(  # noqa: N802
        self,
        request: operator_pb2.ExplainRequest,
        context: grpc.ServicerContext,
    ) -> operator_pb2.ExplainReply:
        """Explains where this node would send a request now."""
        if self._explainer is None:
            context.abort(
                grpc.StatusCode.UNIMPLEMENTED, "the node serves no requests"
            )
        try:
            parsed = explanation.parse_request(request)
        except messages_lib.MalformedMessageError as error:
            context.abort(grpc.StatusCode.INVALID_ARGUMENT, str(error))
        reply = self._explainer.explain(parsed)
        reply.node_id = self._settings.node.node_id
        return reply

    def _build_fleet_view(self) -> status.FleetView:
        try:
            head = acceptance.read_head(self._store)
        except (
            store_lib.StoreUnavailableError,
            acceptance.StoredConfigurationError,
        ) as error:
            logging.warning("building the status without the store: %s", error)
            head = None
        snapshot = self._configuration.current
        # The node's own member record is only updated when it gossips and may
        # hold an earlier generation.
        own_member = dataclasses.replace(
            self._membership.read_self(), generation=snapshot.generation
        )
        members = {
            **self._membership.read_members(),
            own_member.node_id: own_member,
        }
        return status.FleetView(self._settings, snapshot, members, head)

    def _authorize_operator(self, context: grpc.ServicerContext) -> None:
        if not self._settings.tls.enabled:
            return
        names = tls.read_auth_property(context, "x509_common_name")
        if not names & set(self._settings.tls.operators):
            context.abort(
                grpc.StatusCode.PERMISSION_DENIED,
                f"certificate of {', '.join(sorted(names)) or 'no name'} is"
                " not listed in tls.operators",
            )


def _abort_unavailable(
    context: grpc.ServicerContext, error: Exception
) -> NoReturn:
    context.abort(grpc.StatusCode.UNAVAILABLE, str(error))
    raise AssertionError("abort() always raises")
