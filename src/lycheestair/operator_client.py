"""gRPC client of the operator service."""

from collections.abc import Callable
from typing import Any
from typing import Final
from typing import TypeVar

from google.protobuf import message
import grpc

from lycheestair import control
from lycheestair import ids
from lycheestair import operator_pb2
from lycheestair import operator_pb2_grpc
from lycheestair import tls

CALL_TIMEOUT_S: Final = 15.0

Reply = TypeVar("Reply")


class CallError(Exception):
    """The call failed. The message is a single line."""


class UnavailableError(CallError):
    """The node or its store did not respond. A note may have been applied."""


class PermissionDeniedError(CallError):
    """The certificate does not authorize the call."""


class NotFoundError(CallError):
    """No resource has the requested id."""


class InvalidRequestError(CallError):
    """A field of the call is invalid."""


_ERROR_TYPES: Final[dict[grpc.StatusCode, type[CallError]]] = {
    grpc.StatusCode.UNAVAILABLE: UnavailableError,
    grpc.StatusCode.DEADLINE_EXCEEDED: UnavailableError,
    grpc.StatusCode.PERMISSION_DENIED: PermissionDeniedError,
    grpc.StatusCode.NOT_FOUND: NotFoundError,
    grpc.StatusCode.INVALID_ARGUMENT: InvalidRequestError,
}


class OperatorClient:
    """Calls the operator service of one node."""

    def __init__(
        self,
        address: ids.Address,
        channel: grpc.Channel,
        timeout_s: float = CALL_TIMEOUT_S,
    ):
        self._address = address
        self._timeout_s = timeout_s
        self._stub = operator_pb2_grpc.OperatorStub(channel)

    def apply_note(self, text: str) -> operator_pb2.ApplyNoteReply:
        """Applies a note.

        Raises:
          CallError: The call failed; raised by all methods.
        """
        return self._call(
            self._stub.ApplyNote,
            operator_pb2.ApplyNoteRequest(text=text),
            operator_pb2.ApplyNoteReply,
        )

    def check_note(self, text: str) -> operator_pb2.CheckNoteReply:
        """Validates a note against the current configuration."""
        return self._call(
            self._stub.CheckNote,
            operator_pb2.CheckNoteRequest(text=text),
            operator_pb2.CheckNoteReply,
        )

    def list_notes(self, limit: int) -> operator_pb2.ListNotesReply:
        """Lists notes, newest first."""
        return self._call(
            self._stub.ListNotes,
            operator_pb2.ListNotesRequest(limit=limit),
            operator_pb2.ListNotesReply,
        )

    def read_status(self, limit: int) -> operator_pb2.StatusReply:
        """Returns the state of the fleet as seen by the node."""
        return self._call(
            self._stub.ReadStatus,
            operator_pb2.StatusRequest(limit=limit),
            operator_pb2.StatusReply,
        )

    def read_move(self, move_id: ids.MoveId) -> operator_pb2.MoveStatus:
        """Returns the state of a move."""
        return self._call(
            self._stub.ReadMove,
            operator_pb2.MoveRequest(move_id=move_id),
            operator_pb2.MoveStatus,
        )

    def list_suspects(self) -> operator_pb2.ListSuspectsReply:
        """Lists the requests suspected of crashing backend servers."""
        return self._call(
            self._stub.ListSuspects,
            operator_pb2.ListSuspectsRequest(),
            operator_pb2.ListSuspectsReply,
        )

    def release_suspect(
        self, fingerprint: str
    ) -> operator_pb2.ReleaseSuspectReply:
        """Clears a suspected request."""
        return self._call(
            self._stub.ReleaseSuspect,
            operator_pb2.ReleaseSuspectRequest(fingerprint=fingerprint),
            operator_pb2.ReleaseSuspectReply,
        )

    def explain(
        self, request: operator_pb2.ExplainRequest
    ) -> operator_pb2.ExplainReply:
        """Explains where the node would send a request now."""
        return self._call(
            self._stub.Explain,
            request,
            operator_pb2.ExplainReply,
        )

    def _call(
        self,
        method: Callable[..., Any],
        request: message.Message,
        reply_type: type[Reply],
    ) -> Reply:
        try:
            reply = method(request, timeout=self._timeout_s)
            assert isinstance(reply, reply_type)
            return reply
        except grpc.RpcError as error:
            code, details = error.code(), error.details() or ""
            error_type = _ERROR_TYPES.get(code, CallError)
            text = " ".join(details.split()) or code.name.lower()
            raise error_type(f"node {self._address}: {text}") from error


def open_channel(
    address: ids.Address, material: tls.TlsMaterial | None = None
) -> grpc.Channel:
    """Opens a channel to a control listener; plaintext without key material."""
    return control.open_channel(address, material)
