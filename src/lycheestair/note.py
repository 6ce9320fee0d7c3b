"""Data model and parser of release notes written in TOML."""

import dataclasses
import datetime
import tomllib
from typing import Annotated
from typing import Any
from typing import Final

import orjson
import pydantic
import pydantic.dataclasses

from lycheestair import settings as settings_lib

# Leaves room for the metadata stored with the text: both have to fit in one
# store object, which is limited to store.MAX_VALUE_BYTES.
MAX_NOTE_BYTES: Final = 990_000
MAX_PARSER_MESSAGE_CHARS: Final = 200

_STRICT: Final = pydantic.ConfigDict(extra="forbid", frozen=True)
_Identifier = Annotated[
    str, pydantic.Field(pattern=r"^[a-z0-9][a-z0-9._-]*$", max_length=63)
]
_VersionPath = Annotated[
    str,
    pydantic.Field(pattern=r"^[a-z0-9][a-z0-9._-]*/[a-z0-9][a-z0-9._-]*$"),
]
_Percent = Annotated[float, pydantic.Field(ge=0, le=100, allow_inf_nan=False)]
_Host = Annotated[
    str,
    pydantic.Field(
        pattern=r"^(\*|[A-Za-z0-9]([A-Za-z0-9.-]*[A-Za-z0-9])?(:\d{1,5})?)$",
        max_length=255,
    ),
]
_HeaderName = Annotated[
    str, pydantic.Field(pattern=r"^[A-Za-z0-9!#$%&'*+.^_`|~-]+$")
]
_HeaderValue = Annotated[
    str, pydantic.Field(pattern=r"^[^\x00-\x08\x0a-\x1f\x7f]*$")
]


class NoteError(Exception):
    """The note is invalid and is rejected as a whole.

    Attributes:
      messages: One line per error.
    """

    def __init__(self, messages: list[str]):
        super().__init__("\n".join(messages))
        self.messages = messages


@pydantic.dataclasses.dataclass(config=_STRICT)
class ServiceEntry:
    """Adds a service, or changes an existing one.

    Attributes:
      versions: Versions to add to the service.
      shares: Percentage of the traffic by version. Replaces all shares of the
        service unless empty.
    """

    name: _Identifier
    versions: tuple[_Identifier, ...] = ()
    shares: dict[_Identifier, _Percent] = dataclasses.field(
        default_factory=dict
    )


@pydantic.dataclasses.dataclass(config=_STRICT)
class RouteEntry:
    """Adds or replaces a route."""

    name: _Identifier
    service: _Identifier
    path_prefix: Annotated[
        str, pydantic.Field(pattern=r"^/[^\s?#\x00-\x1f\x7f]*$")
    ]
    host: _Host = "*"
    methods: tuple[
        Annotated[str, pydantic.Field(pattern=r"^[A-Z]+$")], ...
    ] = ()
    headers: dict[_HeaderName, _HeaderValue] = dataclasses.field(
        default_factory=dict
    )
    idempotent: bool = False
    can_wait: bool = True
    timeout_ms: Annotated[int, pydantic.Field(gt=0, le=600_000)] = 5_000
    retry_limit: Annotated[int, pydantic.Field(ge=0, le=10)] = 2


@pydantic.dataclasses.dataclass(config=_STRICT)
class MoveEntry:
    """Moves traffic from one version to another by a deadline.

    Attributes:
      share: Percentage of the traffic that the new version has to reach.
      route: Route that the move is limited to, None for the whole service.
    """

    id: _Identifier
    service: _Identifier
    from_version: _Identifier
    to_version: _Identifier
    deadline: datetime.datetime
    share: Annotated[
        float, pydantic.Field(gt=0, le=100, allow_inf_nan=False)
    ] = 100.0
    route: _Identifier | None = None


@pydantic.dataclasses.dataclass(config=_STRICT)
class Withdrawal:
    """Resources that the note withdraws.

    Attributes:
      versions: Versions to remove, each written as "service/version".
      moves: Moves to cancel.
    """

    services: tuple[_Identifier, ...] = ()
    versions: tuple[_VersionPath, ...] = ()
    routes: tuple[_Identifier, ...] = ()
    moves: tuple[_Identifier, ...] = ()


@pydantic.dataclasses.dataclass(config=_STRICT)
class Note:
    """A release note.

    Attributes:
      base: Id of the note that has to directly precede this one. None if the
        note does not depend on a particular predecessor.
    """

    id: _Identifier
    base: _Identifier | None = None
    service: tuple[ServiceEntry, ...] = ()
    route: tuple[RouteEntry, ...] = ()
    move: tuple[MoveEntry, ...] = ()
    withdraw: Withdrawal = dataclasses.field(default_factory=Withdrawal)


_NOTE_ADAPTER: Final = pydantic.TypeAdapter(Note)


def parse_note(text: str, source: str = "note") -> Note:
    """Parses a note and validates its structure.

    Args:
      text: TOML document.
      source: File name to use in error messages.

    Raises:
      NoteError: The text is not a valid note; all errors are listed.
    """
    try:
        # The store holds the text as a JSON string, so escapes count.
        if len(orjson.dumps(text)) > MAX_NOTE_BYTES:
            raise NoteError([f"{source}: larger than {MAX_NOTE_BYTES} bytes"])
        document = tomllib.loads(text)
    # tomllib raises a plain ValueError for integers of thousands of digits and
    # a RecursionError for deep nesting; text that is not valid Unicode raises
    # a ValueError, or a TypeError with orjson.
    except (ValueError, TypeError, RecursionError) as error:
        raise NoteError(
            [f"{source}: not TOML: {str(error)[:MAX_PARSER_MESSAGE_CHARS]}"]
        ) from error
    return validate_document(document, source)


def validate_document(document: dict[str, Any], source: str) -> Note:
    """Validates the structure of a decoded note.

    Args:
      document: Decoded TOML document.
      source: File name to use in error messages.

    Raises:
      NoteError: The document is not a valid note; all errors are listed.
    """
    try:
        return _NOTE_ADAPTER.validate_python(document)
    except pydantic.ValidationError as error:
        raise NoteError(settings_lib.format_errors(source, error)) from error
