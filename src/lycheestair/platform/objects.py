"""Client of the platform's object store."""

import asyncio
from collections.abc import Iterable
from typing import Any
from typing import Final
import urllib.parse

from absl import logging
import orjson

from lycheestair import ids
from lycheestair import messages
from lycheestair.sidecar import http1
from lycheestair.sidecar import json_lists
from lycheestair.sidecar import revisions
from lycheestair.sidecar import store
from lycheestair.sidecar import streams

# Several times the latency of a slow response from a healthy store.
_CALL_TIMEOUT_S: Final = 1.5
_CONNECT_TIMEOUT_S: Final = 1.0
# The response to a watch may arrive this long after the requested wait has
# ended.
_WATCH_TIMEOUT_MARGIN_S: Final = 1.0
_MAX_PAGES: Final = 1_000
_ERA_HEADER: Final = b"store-era"


class ObjectStore:
    """Implements store.MetadataStore."""

    def __init__(self, address: ids.Address):
        self.calls = 0
        self._address = address
        self._idle_streams: list[streams.Stream] = []

    async def list(self, kind: str) -> store.Listing:
        """Implements store.MetadataStore."""
        items: list[store.StoredItem] = []
        after = ""
        revision: revisions.Revision | None = None
        for _ in range(_MAX_PAGES):
            query = f"?after={urllib.parse.quote(after)}" if after else ""
            _, era, document = await self._call("GET", f"/{kind}{query}")
            entries = _read_list(document, "items")
            items.extend(
                _decode_items(((entry, False) for entry in entries), era, kind)
            )
            after = _find_last_name(entries, after)
            # Pages may have different revisions. A watch that continues at the
            # revision of the first page reports all changes since then.
            revision = revision or _read_revision(document, era)
            if era != revision.era:
                raise store.StoreUnavailableError(
                    f"store was restored while {kind} were listed"
                )
            if not document.get("has_more") or not entries:
                break
        assert revision is not None
        return store.Listing(items, revision)

    async def get(self, kind: str, name: str) -> store.StoredItem | None:
        """Implements store.MetadataStore."""
        status, era, document = await self._call(
            "GET", _object_path(kind, name)
        )
        return None if status == 404 else _decode_item(document, era)

    async def watch(
        self, kind: str, revision: revisions.Revision, wait_s: float
    ) -> store.Listing:
        """Implements store.MetadataStore."""
        status, era, document = await self._call(
            "GET",
            f"/{kind}?watch={revision.number}&wait_ms={int(wait_s * 1000)}",
            timeout_s=wait_s + _WATCH_TIMEOUT_MARGIN_S,
        )
        if status == 410 or era != revision.era:
            raise store.HistoryDiscardedError(
                f"no history of {kind} after revision {revision}"
            )
        return store.Listing(
            _decode_items(
                (
                    (event.get("object"), bool(event.get("deleted")))
                    for event in _read_list(document, "events")
                    if isinstance(event, dict)
                ),
                era,
                kind,
            ),
            _read_revision(document, era),
        )

    async def put(
        self,
        kind: str,
        name: str,
        value: Any,
        revision: revisions.Revision | None,
    ) -> store.StoredItem | store.Conflict:
        """Implements store.MetadataStore."""
        body: dict[str, Any] = {
            "metadata": {"name": name},
            "specification": value,
        }
        if revision is None:
            return await self._write("POST", f"/{kind}", body)
        body["metadata"]["revision"] = revision.number
        return await self._write("PUT", _object_path(kind, name), body)

    async def put_status(
        self, kind: str, name: str, status: Any, revision: revisions.Revision
    ) -> store.StoredItem | store.Conflict:
        """Implements store.MetadataStore."""
        body = {
            "metadata": {"name": name, "revision": revision.number},
            "status": status,
        }
        return await self._write(
            "PUT", f"{_object_path(kind, name)}/status", body
        )

    async def delete(
        self, kind: str, name: str, revision: revisions.Revision
    ) -> None:
        """Implements store.MetadataStore."""
        await self._call(
            "DELETE", f"{_object_path(kind, name)}?revision={revision.number}"
        )

    async def _write(
        self, method: str, path: str, body: dict[str, Any]
    ) -> store.StoredItem | store.Conflict:
        status, era, document = await self._call(
            method, path, orjson.dumps(body)
        )
        if status in (404, 409):
            try:
                return store.Conflict(_decode_item(document, era))
            except store.StoreUnavailableError:
                return store.Conflict(None)
        return _decode_item(document, era)

    async def _call(
        self,
        method: str,
        path: str,
        body: bytes = b"",
        timeout_s: float = _CALL_TIMEOUT_S,
    ) -> tuple[int, int, dict[str, Any]]:
        """Sends a request to the store.

        Returns:
          The status, which is below 400 or one of 404, 409 and 410, the era of
          the store, and the decoded body.

        Raises:
          StoreUnavailableError: The store failed, or refused the request.
        """
        self.calls += 1
        stream = None
        try:
            async with asyncio.timeout(timeout_s):
                stream = await self._acquire_connection()
                stream.write(
                    http1.encode_request(
                        method.encode(),
                        f"/-/objects{path}".encode(),
                        [
                            (b"host", self._address.encode()),
                            (b"content-type", b"application/json"),
                        ],
                        body,
                    )
                )
                response = await http1.read_response(stream, method.encode())
        except (
            OSError,
            messages.BodyTooLargeError,
            messages.IncompleteMessageError,
            messages.MalformedMessageError,
        ) as error:
            if stream is not None:
                stream.abort()
            raise store.StoreUnavailableError(
                f"{method} {path}: {error!r}"
            ) from error
        except asyncio.CancelledError:
            if stream is not None:
                stream.abort()
            raise
        if response.keep_alive:
            self._idle_streams.append(stream)
        else:
            stream.close()
        if response.status == 429 or response.status >= 500:
            raise store.StoreUnavailableError(
                f"{method} {path}: status {response.status}"
            )
        try:
            document = json_lists.decode(response.body) if response.body else {}
        except orjson.JSONDecodeError as error:
            raise store.StoreUnavailableError(
                f"{method} {path}: answer is not valid JSON"
            ) from error
        if not isinstance(document, dict):
            raise store.StoreUnavailableError(
                f"{method} {path}: answer is not a JSON object"
            )
        if response.status >= 400 and response.status not in (404, 409, 410):
            raise store.StoreUnavailableError(
                f"{method} {path}: status {response.status}"
            )
        return response.status, _read_era(response), document

    async def _acquire_connection(self) -> streams.Stream:
        while self._idle_streams:
            stream = self._idle_streams.pop()
            if not stream.closed and not stream.buffered:
                return stream
            stream.close()
        return await streams.connect(self._address, _CONNECT_TIMEOUT_S)


def _object_path(kind: str, name: str) -> str:
    return f"/{kind}/{urllib.parse.quote(name, safe='')}"


def _read_era(response: http1.Response) -> int:
    """Returns the era in a response; stores without a drill tell none."""
    value = response.find_header(_ERA_HEADER)
    if value is None:
        return 0
    try:
        return int(value)
    except ValueError as error:
        raise store.StoreUnavailableError(
            f"answer has the malformed era {value!r}"
        ) from error


def _read_revision(document: dict[str, Any], era: int) -> revisions.Revision:
    revision = document.get("at")
    if not isinstance(revision, int):
        raise store.StoreUnavailableError("answer has no valid revision")
    return revisions.Revision(era, revision)


def _read_list(document: dict[str, Any], name: str) -> list[Any]:
    entries = document.get(name) or []
    if not isinstance(entries, list):
        raise store.StoreUnavailableError(f"answer has no valid {name}")
    return entries


def _find_last_name(entries: list[Any], default: str) -> str:
    """Returns the name after which the next page of a list begins."""
    for entry in reversed(entries):
        metadata = entry.get("metadata") if isinstance(entry, dict) else None
        name = metadata.get("name") if isinstance(metadata, dict) else None
        if isinstance(name, str):
            return name
    return default


def _decode_items(
    entries: Iterable[tuple[Any, bool]], era: int, kind: str
) -> list[store.StoredItem]:
    """Decodes objects and whether each is deleted; leaves out malformed ones."""
    items = []
    for document, deleted in entries:
        try:
            items.append(_decode_item(document, era, deleted))
        except store.StoreUnavailableError as error:
            logging.warning("malformed object of %s ignored: %s", kind, error)
    return items


def _decode_item(
    document: Any, era: int, deleted: bool = False
) -> store.StoredItem:
    try:
        metadata = document["metadata"]
        return store.StoredItem(
            name=str(metadata["name"]),
            revision=revisions.Revision(era, int(metadata["revision"])),
            created_revision=revisions.Revision(
                era, int(metadata.get("creation_revision") or 0)
            ),
            value=document.get("specification"),
            status=document.get("status"),
            deleted=deleted,
        )
    except (
        AttributeError,
        KeyError,
        OverflowError,
        TypeError,
        ValueError,
    ) as error:
        raise store.StoreUnavailableError(
            f"answer is not a stored object: {error!r}"
        ) from error
