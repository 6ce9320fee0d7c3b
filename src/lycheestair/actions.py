"""Implementation of the operator commands."""

from collections.abc import Iterable
from collections.abc import Mapping
import dataclasses
import enum
import importlib
import pathlib
from typing import Any
import urllib.parse

from google.protobuf import json_format
from google.protobuf import message
import orjson

from lycheestair import ids
from lycheestair import key_tool
from lycheestair import note as note_lib
from lycheestair import operator_client
from lycheestair import operator_pb2
from lycheestair import settings as settings_lib
from lycheestair import tls


class ExitCode(enum.IntEnum):
    """Exit codes of all commands."""

    OK = 0
    # Invalid note, settings or certificate files; no note was applied.
    INVALID_INPUT = 1
    USAGE_ERROR = 2
    # Another note was accepted first; nothing was changed.
    CONFLICT = 3
    # The node or its store did not respond; a note may have been applied.
    UNAVAILABLE = 4
    PERMISSION_DENIED = 5
    NOT_FOUND = 6


class CommandError(Exception):
    """A command failed. The message has one line for each error."""

    def __init__(self, code: ExitCode, text: str):
        super().__init__(text)
        self.code = code


@dataclasses.dataclass(frozen=True)
class NodeTarget:
    """Command-line options that select a node and the client's credentials.

    Attributes:
      node: Address IP:PORT of the node's control listener.
      settings: Settings file of the node, instead of `node`.
      credentials: Path prefix DIR/NAME of the files DIR/NAME.pem and
        DIR/NAME-key.pem, beside DIR/authority.pem. If empty, a connection uses
        the TLS settings of `settings`, or plaintext if `node` is given.
    """

    node: str
    settings: str
    credentials: str

    @property
    def selects_node(self) -> bool:
        """Whether the options select a node."""
        return bool(self.node or self.settings)


def check_note(file: str, target: NodeTarget) -> int:
    """Validates a note at a node, or only the file if no node is selected."""
    text = read_note(file)
    if not target.selects_node:
        print(
            f"{file}: the syntax is valid; use --node to validate it against the"
            " current configuration"
        )
        return ExitCode.OK
    reply = connect(target).check_note(text)
    if reply.messages:
        raise CommandError(
            ExitCode.INVALID_INPUT,
            "\n".join(f"{file}: {line}" for line in reply.messages),
        )
    print(f"{file}: can be applied to generation {reply.generation}")
    return ExitCode.OK


def apply_note(file: str, target: NodeTarget) -> int:
    """Applies a note at a node."""
    reply = connect(target).apply_note(read_note(file))
    outcome = reply.WhichOneof("outcome")
    if outcome == "rejected":
        raise CommandError(
            ExitCode.INVALID_INPUT,
            "\n".join(f"{file}: {line}" for line in reply.rejected.messages),
        )
    if outcome == "overtaken":
        raise CommandError(
            ExitCode.CONFLICT,
            f"{file}: not applied, note {reply.overtaken.winner} was accepted"
            f" first as generation {reply.overtaken.generation}; check and"
            " apply again",
        )
    print(
        f"{file}: note {reply.accepted.note_id} accepted as generation"
        f" {reply.accepted.generation}"
    )
    return ExitCode.OK


def read_note(file: str) -> str:
    """Reads a note and validates its syntax and fields."""
    try:
        text = pathlib.Path(file).read_text("utf-8")
        note_lib.parse_note(text, file)
    except OSError as error:
        raise CommandError(
            ExitCode.INVALID_INPUT, f"{file}: {error.strerror}"
        ) from error
    except UnicodeDecodeError as error:
        raise CommandError(
            ExitCode.INVALID_INPUT, f"{file}: not UTF-8 text"
        ) from error
    except note_lib.NoteError as error:
        raise CommandError(
            ExitCode.INVALID_INPUT, "\n".join(error.messages)
        ) from error
    return text


def load_settings(file: str) -> settings_lib.Settings:
    """Reads and validates a settings file."""
    try:
        return settings_lib.load_settings(file)
    except settings_lib.SettingsError as error:
        raise CommandError(ExitCode.INVALID_INPUT, str(error)) from error


def connect(target: NodeTarget) -> operator_client.OperatorClient:
    """Returns a client of the selected node."""
    if bool(target.node) == bool(target.settings):
        raise CommandError(
            ExitCode.USAGE_ERROR,
            "give either --node IP:PORT or --settings FILE",
        )
    tls_settings = settings_lib.TlsSettings()
    address = str(target.node)
    if target.settings:
        settings = load_settings(str(target.settings))
        address, tls_settings = settings.listeners.control, settings.tls
    if not settings_lib.is_address(address):
        raise CommandError(
            ExitCode.USAGE_ERROR,
            f"--node: {address!r} is not an address; write IP:PORT, for"
            " example 127.0.0.1:7003",
        )
    if target.credentials:
        tls_settings = _build_tls_settings(str(target.credentials))
    certificate_files = tls.open_certificate_files(tls_settings)
    return operator_client.OperatorClient(
        ids.Address(address),
        operator_client.open_channel(
            ids.Address(address),
            certificate_files.read() if certificate_files else None,
        ),
    )


def _build_tls_settings(credentials: str) -> settings_lib.TlsSettings:
    path = pathlib.Path(credentials)
    return settings_lib.TlsSettings(
        enabled=True,
        certificate=f"{path}.pem",
        key=f"{path}-key.pem",
        authority=str(path.parent / f"{key_tool.AUTHORITY}.pem"),
    )


def make_keys(out: str, nodes: Any, operators: Any, days: Any) -> int:
    """Creates a certificate authority and certificates."""
    if not isinstance(days, int) or isinstance(days, bool) or days < 1:
        raise CommandError(
            ExitCode.USAGE_ERROR, f"--days: {days!r} is not a positive integer"
        )
    try:
        written = key_tool.issue_certificates(
            out, _split_names(nodes), _split_names(operators), days
        )
    except key_tool.KeyToolError as error:
        raise CommandError(ExitCode.INVALID_INPUT, str(error)) from error
    print("\n".join(written))
    return ExitCode.OK


def _split_names(names: Any) -> tuple[str, ...]:
    # Fire parses "a,b" as a tuple, but keeps "a-1,b-1" as a string.
    if isinstance(names, tuple | list):
        return tuple(str(name) for name in names)
    return tuple(name for name in str(names).split(",") if name)


def validate_limit(limit: Any) -> int:
    """Validates and returns the value of --limit."""
    if not isinstance(limit, int) or isinstance(limit, bool) or limit < 0:
        raise CommandError(
            ExitCode.USAGE_ERROR,
            f"--limit: {limit!r} is not a non-negative integer",
        )
    return limit


def describe_request(
    url: str, method: str, headers: str
) -> operator_pb2.ExplainRequest:
    """Returns the description of a request that a node explains.

    Raises:
      CommandError: The URL or the headers can't be read.
    """
    parts = urllib.parse.urlsplit(url)
    if parts.scheme != "http" or not parts.netloc:
        raise CommandError(
            ExitCode.USAGE_ERROR, f"URL: {url!r} is not http://HOST/PATH"
        )
    pairs = [pair.partition("=") for pair in headers.split(",") if pair]
    for name, separator, _ in pairs:
        if not name or not separator:
            raise CommandError(
                ExitCode.USAGE_ERROR, f"--headers: {name!r} is not NAME=VALUE"
            )
    target = urllib.parse.urlunsplit(
        ("", "", parts.path or "/", parts.query, "")
    )
    return operator_pb2.ExplainRequest(
        method=method,
        host=parts.netloc,
        target=target,
        headers=[
            operator_pb2.RequestHeader(name=name, value=value)
            for name, _, value in pairs
        ],
    )


def validate_choice(name: str, value: Any, choices: Iterable[str]) -> None:
    """Raises CommandError if a value is not one of the choices."""
    if value not in choices:
        raise CommandError(
            ExitCode.USAGE_ERROR,
            f"{name}: {value!r} is not one of {', '.join(choices)}",
        )


def run_benchmark(name: str, options: Mapping[str, Any]) -> int:
    """Runs a benchmark and prints its results; returns the exit code."""
    module = import_module(f"measure_{name}")
    try:
        results = module.run(**options)
    except TypeError as error:
        # Only a TypeError from the call itself means that an option is wrong;
        # one raised inside the benchmark is a defect.
        if error.__traceback__ and error.__traceback__.tb_next:
            raise
        raise CommandError(
            ExitCode.USAGE_ERROR, f"measure {name}: {error}"
        ) from None
    json_options = orjson.OPT_INDENT_2 | orjson.OPT_NON_STR_KEYS
    print(orjson.dumps(results, option=json_options).decode())
    return ExitCode.OK


def run_experiment(file: str, seed: int, out: str, plot: str) -> int:
    """Plays an experiment and prints its summary."""
    module = import_module("experiment")
    try:
        module.run(file, seed, out, plot)
    except module.experiment_settings.ExperimentSettingsError as error:
        raise CommandError(ExitCode.INVALID_INPUT, str(error)) from None
    except (ImportError, OSError) as error:
        raise CommandError(
            ExitCode.INVALID_INPUT, f"experiment: {error}"
        ) from None
    return ExitCode.OK


def import_module(name: str) -> Any:
    """Imports a module on demand, as only one command needs it."""
    return importlib.import_module(f"lycheestair.{name}")


def print_reply(
    reply: message.Message, lines: Iterable[str], as_json: bool
) -> int:
    """Prints a reply as text lines or as JSON."""
    if as_json:
        print(
            json_format.MessageToJson(
                reply,
                preserving_proto_field_name=True,
                always_print_fields_with_no_presence=True,
            )
        )
    else:
        print("\n".join(lines))
    return ExitCode.OK
