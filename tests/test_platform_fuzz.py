"""Tests that decoders of untrusted input raise only their documented errors."""

import contextlib

from hypothesis import given
from hypothesis import settings
from hypothesis import strategies
import orjson
import platform_standins as standins

from lycheestair import messages
from lycheestair.platform import documents
from lycheestair.platform import objects
from lycheestair.platform import requests
from lycheestair.platform import settings as settings_lib
from lycheestair.sidecar import calls
from lycheestair.sidecar import catalog
from lycheestair.sidecar import frames
from lycheestair.sidecar import http1
from lycheestair.sidecar import members
from lycheestair.sidecar import store

VALUES = strategies.recursive(
    strategies.none()
    | strategies.booleans()
    | strategies.integers(-(2**40), 2**40)
    | strategies.floats(allow_nan=False, allow_infinity=False)
    | strategies.text(max_size=8),
    lambda inner: strategies.lists(inner, max_size=4)
    | strategies.dictionaries(strategies.text(max_size=8), inner, max_size=4),
    max_leaves=12,
)
CODEC = documents.DocumentCodec()
CONFIG = standins.make_config(
    7, [("view", "/view/", "safe", [("desk", 90), ("press", 10)])]
)
HEARTBEAT = {
    "address": "127.0.0.1:1",
    "born": 1,
    "information": {"service": "s", "version": "v", "zone": "z", "slots": 4},
    "status": {"state": "ready", "sequence": 1, "cold_remaining_s": 0},
}


def replace_random_part(rng, document, value):
    """Returns the document with a random part replaced by a value."""
    if isinstance(document, dict) and document and rng.random() > 0.15:
        key = rng.choice(sorted(document))
        return {
            **document,
            key: replace_random_part(rng, document[key], value),
        }
    if isinstance(document, list) and document and rng.random() > 0.15:
        index = rng.randrange(len(document))
        return [
            replace_random_part(rng, part, value) if position == index else part
            for position, part in enumerate(document)
        ]
    return value


@settings(max_examples=300, deadline=None)
@given(strategies.randoms(use_true_random=False), VALUES)
def test_mutated_configuration_is_rejected_or_decoded(rng, value):
    """Guards against an invalid store object that stops the feeder."""
    document = replace_random_part(rng, CONFIG, value)
    item = store.StoredItem("main", 1, 1, document, value)
    with contextlib.suppress(store.DocumentError):
        decoded = CODEC.decode_catalog(item)
        decoded.match("shop.example", "/view/1")
        changed = catalog.apply_change(
            catalog.EMPTY, catalog.encode_change(catalog.EMPTY, decoded)
        )
        assert changed.routes == decoded.routes
    with contextlib.suppress(store.DocumentError):
        CODEC.decode_rollout(item)


@settings(max_examples=300, deadline=None)
@given(strategies.randoms(use_true_random=False), VALUES)
def test_mutated_heartbeat_is_rejected_or_decoded(rng, value):
    """Guards against an invalid heartbeat that stops the node."""
    body = orjson.dumps(replace_random_part(rng, HEARTBEAT, value))
    for call in ("instances.heartbeat", "instances.deregister"):
        request = http1.Request(
            b"POST", f"/-/rpc?call={call}&of=i-1".encode(), "h", [], body
        )
        with contextlib.suppress(requests.AnnouncementError):
            announcement = requests.decode_announcement(request)
            assert announcement.slots >= 0


@settings(max_examples=200, deadline=None)
@given(VALUES)
def test_invalid_parts_of_frames_are_rejected(value):
    """Guards against frames of another release that stop the node."""
    with contextlib.suppress(ValueError):
        members.decode_record(value)
    with contextlib.suppress(store.StoreUnavailableError):
        objects._decode_item(value, 1)
    fields = value if isinstance(value, list) else [value]
    with contextlib.suppress(ValueError):
        calls.decode_call(fields)
    with contextlib.suppress(catalog.CatalogError):
        catalog.apply_change(catalog.EMPTY, fields)


@settings(max_examples=200, deadline=None)
@given(strategies.binary(max_size=64))
def test_arbitrary_bytes_are_rejected(data):
    """Guards against arbitrary bytes as frame, HTTP request or settings."""
    with contextlib.suppress(ValueError):
        frames.decompress(data)
    with contextlib.suppress(messages.MalformedMessageError):
        messages.parse_request_line(messages.parse_head(data + b"\r\n\r\n"))
    with contextlib.suppress(settings_lib.SettingsError):
        settings_lib.decode(data.decode("latin-1"))
