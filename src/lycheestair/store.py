"""Client for the platform's object API."""

from collections.abc import Iterator
import dataclasses
from typing import Any
from typing import Final
from typing import Protocol
import urllib.parse

import orjson
import urllib3
import urllib3.exceptions

from lycheestair import settings as settings_lib

MAX_VALUE_BYTES: Final = 1_000_000
DEFAULT_RETRY_AFTER_S: Final = 1.0
MAX_RETRY_AFTER_S: Final = 60.0


class StoreUnavailableError(Exception):
    """The store did not respond, or its response was invalid.

    A write may have taken effect.
    """


class StoreOverloadedError(StoreUnavailableError):
    """The store rejected the call because of its rate limit.

    Attributes:
      retry_after_s: Seconds to wait before the next call.
    """

    def __init__(self, retry_after_s: float):
        super().__init__(
            f"store rate limit exceeded; retry after {retry_after_s} s"
        )
        self.retry_after_s = retry_after_s


class WatchExpiredError(Exception):
    """The watch starts at a resource version that the store has discarded."""


class ValueTooLargeError(Exception):
    """The value exceeds the store's size limit."""


@dataclasses.dataclass(frozen=True)
class StoredObject:
    """An object read from the store.

    Attributes:
      version: Resource version; increases with each write to the store.
      value: Decoded JSON value.
    """

    name: str
    version: int
    value: Any


@dataclasses.dataclass(frozen=True)
class Written:
    """The conditional write succeeded.

    Attributes:
      version: Resource version of the written object.
    """

    version: int


@dataclasses.dataclass(frozen=True)
class Conflict:
    """The conditional write failed because the stored version differs.

    Attributes:
      current: The stored object, None if there is none.
    """

    current: StoredObject | None


WriteOutcome = Written | Conflict


class Store(Protocol):
    """Object API of the platform.

    Every method raises StoreUnavailableError if the store does not respond.
    """

    def get(self, kind: str, name: str) -> StoredObject | None:
        """Returns an object, or None if it does not exist."""

    def put(
        self, kind: str, name: str, value: Any, version: int
    ) -> WriteOutcome:
        """Writes an object if its stored version equals `version`.

        Version 0 means that the object must not exist yet.
        """

    def delete(self, kind: str, name: str) -> None:
        """Removes an object if it exists."""

    def list(self, kind: str) -> Iterator[StoredObject]:
        """Yields all objects of a kind, fetching them page by page."""

    def watch(
        self, kind: str, version: int, timeout_s: float
    ) -> Iterator[StoredObject]:
        """Yields objects written after `version` until the timeout expires.

        Raises:
          WatchExpiredError: The store no longer has the changes since
            `version`.
        """


class HttpStore:
    """Accesses the store over HTTP.

    Attributes:
      calls: Number of requests sent.
    """

    def __init__(self, settings: settings_lib.StoreSettings):
        self._base_url = f"http://{settings.address}/v1"
        self._timeout = urllib3.Timeout(
            connect=settings.timeout_ms / 1000, read=settings.timeout_ms / 1000
        )
        self._pool = urllib3.PoolManager(
            maxsize=4, retries=False, timeout=self._timeout
        )
        self.calls = 0

    def get(self, kind: str, name: str) -> StoredObject | None:
        """Implements Store.get."""
        response = self._call("GET", _object_path(kind, name))
        if response.status == 404:
            return None
        return _decode_object(_decode(response))

    def put(
        self, kind: str, name: str, value: Any, version: int
    ) -> WriteOutcome:
        """Implements Store.put.

        Raises:
          ValueTooLargeError: The encoded value exceeds MAX_VALUE_BYTES or the
            store's own limit.
        """
        body = orjson.dumps({"resource_version": version, "value": value})
        if len(body) > MAX_VALUE_BYTES:
            raise ValueTooLargeError(f"{kind}/{name}: {len(body)} bytes")
        response = self._call("PUT", _object_path(kind, name), body)
        if response.status == 413:
            raise ValueTooLargeError(f"{kind}/{name}: {len(body)} bytes")
        document = _decode(response)
        if response.status == 409:
            current = document.get("current")
            return Conflict(_decode_object(current) if current else None)
        return Written(_read_version(document))

    def delete(self, kind: str, name: str) -> None:
        """Implements Store.delete."""
        self._call("DELETE", _object_path(kind, name))

    def list(self, kind: str) -> Iterator[StoredObject]:
        """Implements Store.list."""
        continue_token = ""
        while True:
            path = (
                f"/{kind}?limit=200"
                f"&continue={urllib.parse.quote(continue_token)}"
            )
            document = _decode(self._call("GET", path))
            items = document.get("items")
            if not isinstance(items, list):
                raise StoreUnavailableError("store response has no item list")
            yield from map(_decode_object, items)
            continue_token = str(document.get("continue") or "")
            if not continue_token:
                return

    def watch(
        self, kind: str, version: int, timeout_s: float
    ) -> Iterator[StoredObject]:
        """Implements Store.watch."""
        self.calls += 1
        path = (
            f"/{kind}?watch=1&resource_version={version}"
            f"&timeout_s={timeout_s:.0f}"
        )
        try:
            response = self._pool.request(
                "GET",
                self._base_url + path,
                preload_content=False,
                timeout=urllib3.Timeout(
                    connect=self._timeout.connect_timeout,
                    read=timeout_s + 2.0,
                ),
            )
            if response.status == 410:
                response.drain_conn()
                raise WatchExpiredError(
                    f"cannot watch from version {version}: the store no longer"
                    " has the changes since then"
                )
            _raise_for_status(response)
            yield from _read_watch_events(response)
        except urllib3.exceptions.HTTPError as error:
            raise StoreUnavailableError(str(error)) from error

    def _call(
        self, method: str, path: str, body: bytes | None = None
    ) -> urllib3.BaseHTTPResponse:
        self.calls += 1
        try:
            response = self._pool.request(
                method, self._base_url + path, body=body
            )
        except urllib3.exceptions.HTTPError as error:
            raise StoreUnavailableError(str(error)) from error
        _raise_for_status(response)
        return response


def _object_path(kind: str, name: str) -> str:
    return f"/{kind}/{urllib.parse.quote(name, safe='')}"


def _raise_for_status(response: urllib3.BaseHTTPResponse) -> None:
    if response.status == 429:
        raise StoreOverloadedError(
            _read_retry_after(response.headers.get("Retry-After", ""))
        )
    if response.status >= 500:
        raise StoreUnavailableError(
            f"store returned HTTP status {response.status}"
        )


def _decode(response: urllib3.BaseHTTPResponse) -> dict[str, Any]:
    try:
        document = orjson.loads(response.data)
    except orjson.JSONDecodeError as error:
        raise StoreUnavailableError("store response is not JSON") from error
    if not isinstance(document, dict):
        raise StoreUnavailableError("store response is not a JSON object")
    return document


def _read_retry_after(text: str) -> float:
    # The header may also hold an HTTP date or be malformed.
    try:
        seconds = float(text)
    except ValueError:
        return DEFAULT_RETRY_AFTER_S
    if not 0 <= seconds <= MAX_RETRY_AFTER_S:
        return DEFAULT_RETRY_AFTER_S
    return seconds


def _decode_object(document: Any) -> StoredObject:
    if not isinstance(document, dict) or "value" not in document:
        raise StoreUnavailableError("store response is not a stored object")
    return StoredObject(
        str(document.get("name", "")),
        _read_version(document),
        document["value"],
    )


def _read_version(document: dict[str, Any]) -> int:
    version = document.get("resource_version")
    if not isinstance(version, int):
        raise StoreUnavailableError("store response has no resource version")
    return version


def _read_watch_events(
    response: urllib3.BaseHTTPResponse,
) -> Iterator[StoredObject]:
    buffer = b""
    # Yields objects as soon as their chunk arrives; stream() would wait for
    # more data.
    for chunk in response.read_chunked():
        *lines, buffer = (buffer + chunk).split(b"\n")
        for line in filter(None, lines):
            try:
                yield _decode_object(orjson.loads(line))
            except orjson.JSONDecodeError as error:
                raise StoreUnavailableError(
                    "watch event is not JSON"
                ) from error
