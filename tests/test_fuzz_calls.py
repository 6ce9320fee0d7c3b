"""Fuzzes the methods of the control listener.

Checks that no message makes a handler raise an exception, which gRPC reports as
UNKNOWN, or exceed the call's deadline. Handlers set all other codes
deliberately.
"""

import grpc
import hypothesis
from hypothesis import strategies as st
import operator_support
import pytest

from lycheestair import control
from lycheestair import distribution
from lycheestair import distribution_pb2
from lycheestair import evidence
from lycheestair import evidence_exchange
from lycheestair import evidence_pb2
from lycheestair import keys
from lycheestair import keys_pb2
from lycheestair import membership
from lycheestair import membership_pb2
from lycheestair import operator_pb2
from lycheestair import suspect_exchange
from lycheestair import suspects
from lycheestair import suspects_pb2

MODULES = (
    distribution_pb2,
    evidence_pb2,
    keys_pb2,
    membership_pb2,
    operator_pb2,
    suspects_pb2,
)
METHODS = [
    method
    for module in MODULES
    for service in module.DESCRIPTOR.services_by_name.values()
    for method in service.methods
]
# A field whose name contains one of these holds an address. A node may connect
# to it, so only loopback addresses are generated.
ADDRESS_FIELD_PARTS = ("address", "control", "peer")
INTEGER_RANGES = {
    "int32": (-(2**31), 2**31 - 1),
    "int64": (-(2**63), 2**63 - 1),
    "uint32": (0, 2**32 - 1),
    "uint64": (0, 2**64 - 1),
}
# Names of the numbers in FieldDescriptor.type. Types of the same range share a
# name.
TYPE_NAMES = {
    1: "double", 2: "float", 3: "int64", 4: "uint64", 5: "int32", 6: "uint64",
    7: "uint32", 8: "bool", 9: "string", 11: "message", 12: "bytes",
    13: "uint32", 14: "enum", 15: "int32", 16: "int64", 17: "int32",
    18: "int64",
}  # fmt: skip


def draw_scalar(draw, field):
    type_name = TYPE_NAMES[field.type]
    if type_name in INTEGER_RANGES:
        low, high = INTEGER_RANGES[type_name]
        return draw(st.sampled_from([0, 1, 2, low, high]))
    if type_name in ("double", "float"):
        return draw(
            st.sampled_from([0.0, -1.0, 1e30, float("nan"), float("inf")])
        )
    if type_name == "bool":
        return draw(st.booleans())
    if type_name == "bytes":
        return draw(st.binary(max_size=16))
    if type_name == "enum":
        return draw(st.integers(0, 5))
    if any(part in field.name for part in ADDRESS_FIELD_PARTS):
        return draw(st.sampled_from(["", "127.0.0.1:1", "127.0.0.1:99999"]))
    return draw(st.sampled_from(["", "n1", "east-1", "\n", "ÿ" * 300]))


def fill_message(draw, message, depth=0):
    for field in message.DESCRIPTOR.fields:
        if depth > 3 or not draw(st.integers(0, 4)):
            continue
        is_map = (
            field.message_type is not None
            and field.message_type.GetOptions().map_entry
        )
        if is_map:
            continue
        if field.is_repeated:
            target = getattr(message, field.name)
            for _ in range(draw(st.integers(0, 2))):
                if TYPE_NAMES[field.type] == "message":
                    fill_message(draw, target.add(), depth + 1)
                else:
                    target.append(draw_scalar(draw, field))
        elif TYPE_NAMES[field.type] == "message":
            target = getattr(message, field.name)
            target.SetInParent()
            fill_message(draw, target, depth + 1)
        else:
            setattr(message, field.name, draw_scalar(draw, field))


@st.composite
def draw_message(draw, descriptor):
    message = descriptor._concrete_class()
    fill_message(draw, message)
    return message.SerializeToString()


@pytest.fixture(scope="module")
def address():
    settings = operator_support.make_settings(
        membership={"probe_timeout_ms": 20}
    )
    with operator_support.prepare_node(settings) as node:
        channels = control.PeerChannels(settings)
        gossip = membership.GossipMembership(
            settings, channels, node.configuration
        )
        components = (
            gossip,
            distribution.Distributor(
                settings, channels, node.configuration, gossip, node.store
            ),
            keys.KeyVoter(settings, node.configuration, gossip),
        )
        for component in components:
            component.register(node.server)
        exchanges = (
            evidence_exchange.EvidenceExchange(
                settings, evidence.EvidenceTable(settings), channels, gossip
            ),
            suspect_exchange.SuspectExchange(
                settings, suspects.SuspectTable(settings), channels, gossip
            ),
        )
        for exchange in exchanges:
            node.server.register(exchange.register)
        node.server.start()
        yield node.address
        channels.close()


def call(address, method, data):
    path = f"/{method.containing_service.full_name}/{method.name}"
    channel = grpc.insecure_channel(address)
    rpc_type = (
        f"{'stream' if method.client_streaming else 'unary'}_"
        f"{'stream' if method.server_streaming else 'unary'}"
    )
    function = getattr(channel, rpc_type)(path)
    request = iter([data]) if method.client_streaming else data
    try:
        reply = function(request, timeout=10)
        if method.server_streaming:
            list(reply)
        return grpc.StatusCode.OK
    except grpc.RpcError as error:
        return error.code()
    finally:
        channel.close()


@pytest.mark.parametrize("method", METHODS, ids=lambda method: method.full_name)
def test_handler_does_not_fail_on_any_message(address, method):
    @hypothesis.settings(
        derandomize=True,
        max_examples=40,
        deadline=None,
        database=None,
        phases=[hypothesis.Phase.generate],
    )
    @hypothesis.given(draw_message(method.input_type) | st.binary(max_size=40))
    def check(data):
        code = call(address, method, data)
        assert code is not grpc.StatusCode.UNKNOWN
        assert code is not grpc.StatusCode.DEADLINE_EXCEEDED

    check()
