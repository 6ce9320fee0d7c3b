"""Guards against malformed input that makes decoders raise undocumented errors."""

import contextlib

import hypothesis
from hypothesis import strategies as st
import operator_support
import orjson
import pytest
import urllib3

from lycheestair import acceptance
from lycheestair import calls
from lycheestair import compiler
from lycheestair import error_responses
from lycheestair import errors
from lycheestair import messages
from lycheestair import note as note_lib
from lycheestair import note_records
from lycheestair import resources
from lycheestair import settings as settings_lib
from lycheestair import snapshot as snapshot_lib
from lycheestair import status
from lycheestair import store as store_lib

# Derandomized, so that every run tests the same cases.
fuzz = hypothesis.settings(
    derandomize=True,
    max_examples=200,
    deadline=None,
    suppress_health_check=[hypothesis.HealthCheck.too_slow],
)

JSON_SCALARS = (
    st.none()
    | st.booleans()
    | st.integers(-(2**53), 2**53)
    | st.floats(allow_nan=False, allow_infinity=False)
    | st.text(max_size=8)
)
JSON_VALUES = st.recursive(
    JSON_SCALARS,
    lambda inner: st.lists(inner, max_size=3)
    | st.dictionaries(st.text(max_size=8), inner, max_size=3),
    max_leaves=8,
)


def make_snapshot():
    service = resources.Service(
        "a", (resources.Version("v1"),), (resources.Share("v1", 10_000),)
    )
    return snapshot_lib.replace_resources(
        snapshot_lib.EMPTY, (service,), note_id="n1"
    )


VALID_DELTA = orjson.loads(snapshot_lib.encode_snapshot(make_snapshot()))
VALID_HEAD = {
    "generation": 1,
    "note_id": "n1",
    "digest": make_snapshot().digest,
    "base_generation": 0,
    "base_note_id": "",
    "tail": [VALID_DELTA],
}


@st.composite
def mutate(draw, valid):
    """Draws a copy of a valid document with values replaced or removed."""
    document = orjson.loads(orjson.dumps(valid))
    for _ in range(draw(st.integers(1, 3))):
        container = document
        while True:
            keys = (
                sorted(container)
                if isinstance(container, dict)
                else range(len(container))
            )
            key = draw(st.sampled_from(list(keys)))
            child = container[key]
            if not child or not isinstance(child, dict | list):
                break
            if draw(st.booleans()):
                break
            container = child
        if isinstance(container, dict) and draw(st.booleans()):
            del container[key]
        else:
            container[key] = draw(JSON_VALUES)
        if not document:
            break
    return document


@fuzz
@hypothesis.given(st.binary() | mutate(VALID_DELTA).map(orjson.dumps))
def test_snapshot_decoder_raises_only_invalid_snapshot_error(data):
    try:
        snapshot = snapshot_lib.decode_snapshot(data)
    except snapshot_lib.InvalidSnapshotError:
        return
    snapshot_lib.find_inconsistencies(snapshot)


@fuzz
@hypothesis.given(JSON_VALUES | mutate(VALID_HEAD), JSON_VALUES, JSON_VALUES)
def test_malformed_store_objects_raise_only_documented_errors(
    head, base, record
):
    store = operator_support.MemoryStore()
    store.put("configuration", "head", head, 0)
    store.put("snapshots", "1", base, 0)
    store.put("notes", "n1", record, 0)
    store.put("moves", "m1", record, 0)
    with contextlib.suppress(acceptance.StoredConfigurationError):
        decoded_head = acceptance.read_head(store)
        acceptance.read_snapshot(store, decoded_head, snapshot_lib.EMPTY)
    note_records.decode_record(store.get("notes", "n1"))
    with contextlib.suppress(acceptance.StoredConfigurationError):
        status.list_notes(store, 0)
    with contextlib.suppress(acceptance.StoredConfigurationError):
        status.find_move(snapshot_lib.EMPTY, store, "m1")
    acceptor = acceptance.NoteAcceptor(store, lambda: snapshot_lib.EMPTY)
    with contextlib.suppress(
        acceptance.StoredConfigurationError, store_lib.StoreUnavailableError
    ):
        acceptor.apply('id = "n1"')


NOTE_DOCUMENT = {
    "id": "n1",
    "base": "n0",
    "service": [{"name": "a", "versions": ["v1"], "shares": {"v1": 100}}],
    "route": [
        {
            "name": "r",
            "service": "a",
            "path_prefix": "/",
            "methods": ["GET"],
            "headers": {"x": "y"},
            "timeout_ms": 10,
        }
    ],
    "move": [
        {
            "id": "m",
            "service": "a",
            "from_version": "v1",
            "to_version": "v2",
            "deadline": "2027-01-01T00:00:00Z",
            "share": 50,
        }
    ],
    "withdraw": {
        "services": ["a"],
        "versions": ["a/v1"],
        "routes": ["r"],
        "moves": ["m"],
    },
}


@fuzz
@hypothesis.given(st.text() | mutate(NOTE_DOCUMENT))
def test_malformed_notes_raise_only_note_error(content):
    try:
        if isinstance(content, str):
            note = note_lib.parse_note(content)
        else:
            note = note_lib.validate_document(content, "note")
        compiler.compile_note(note, make_snapshot(), 1_700_000_000.0)
    except note_lib.NoteError as error:
        assert error.messages
        assert all("\n" not in line for line in error.messages)


@fuzz
@hypothesis.given(
    mutate(
        operator_support.make_settings_document(
            tls={"enabled": True, "operators": ["x"]},
            requests={"max_connections": 1, "idle_timeout_s": 1.0},
            membership={"seeds": ["127.0.0.1:1"]},
        )
    )
)
def test_malformed_settings_raise_only_settings_error(document):
    try:
        settings_lib.parse_document(document, "file")
    except settings_lib.SettingsError as error:
        lines = str(error).split("\n")
        assert all(line.startswith("file: ") for line in lines)


@fuzz
@hypothesis.given(st.binary())
def test_binary_settings_files_raise_settings_error(tmp_path_factory, data):
    path = tmp_path_factory.mktemp("settings") / "node.toml"
    path.write_bytes(data)
    with pytest.raises(settings_lib.SettingsError):
        settings_lib.load_settings(str(path))


STORE_RESPONSE = {
    "name": "n",
    "resource_version": 1,
    "value": {},
    "items": [{"name": "n", "resource_version": 1, "value": {}}],
    "continue": "",
    "current": {"name": "n", "resource_version": 1, "value": {}},
}


@fuzz
@hypothesis.given(
    st.sampled_from([200, 404, 409, 410, 413, 429, 500]),
    st.binary()
    | JSON_VALUES.map(orjson.dumps)
    | mutate(STORE_RESPONSE).map(orjson.dumps),
    st.text(st.characters(codec="latin-1"), max_size=5),
)
def test_store_client_raises_only_documented_errors(
    http_status, body, retry_after
):
    class FakePool:

        def request(self, *args, **kwargs):
            return urllib3.HTTPResponse(
                body, {"Retry-After": retry_after}, http_status
            )

    client = store_lib.HttpStore(
        settings_lib.StoreSettings(address="127.0.0.1:1")
    )
    client._pool = FakePool()
    for call in (
        lambda: client.get("k", "n"),
        lambda: client.put("k", "n", {}, 0),
        lambda: client.delete("k", "n"),
        lambda: next(client.list("k"), None),
    ):
        with contextlib.suppress(
            store_lib.StoreUnavailableError,
            store_lib.ValueTooLargeError,
        ):
            call()


HEADER_NAMES = [
    b"x-lycheestair-" + name
    for name in (
        b"request-id", b"deadline-ms", b"depth", b"retries", b"route",
        b"service", b"version", b"flags", b"execution", b"error",
    )
]  # fmt: skip
HEADER_LISTS = st.lists(
    st.tuples(
        st.sampled_from(HEADER_NAMES),
        st.binary(max_size=20)
        | st.integers().map(lambda number: b"%d" % number)
        | st.just(b"9" * 400)
        | st.sampled_from(list(errors.ErrorKind)).map(
            lambda kind: kind.value.encode()
        ),
    )
)


@fuzz
@hypothesis.given(
    HEADER_LISTS, st.sampled_from([b"1", b"9" * 400]), st.binary()
)
def test_malformed_peer_messages_raise_only_documented_errors(
    headers, number, body
):
    all_headers = [*headers, *((name, number) for name in HEADER_NAMES)]
    request = messages.Request("GET", b"/", "/", "h", all_headers, body)
    with contextlib.suppress(calls.MalformedCallError):
        calls.decode_peer_headers(request)
    error_responses.decode(messages.Response(503, headers, body))


def test_documents_are_valid_before_mutation():
    """Mutations of a document that is already invalid would test nothing."""
    stored = store_lib.StoredObject("head", 1, VALID_HEAD)
    assert acceptance.decode_head(stored).generation == 1
    document = orjson.loads(orjson.dumps(NOTE_DOCUMENT))
    assert note_lib.validate_document(document, "note").id == "n1"
