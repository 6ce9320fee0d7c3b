"""Cache of the encoded deltas that a node forwards."""

import pytest

from lycheestair import configuration
from lycheestair import ids
from lycheestair import replica as replica_lib
from lycheestair import resources
from lycheestair import snapshot as snapshot_lib

CHANGES = replica_lib.MAX_CACHED_DELTAS * 3


def make_snapshots():
    snapshots = [snapshot_lib.EMPTY]
    for number in range(CHANGES):
        service = resources.Service(
            ids.ServiceName(f"s{number}"),
            (resources.Version(ids.VersionName("v1")),),
            (resources.Share(ids.VersionName("v1"), 10_000),),
        )
        snapshots.append(
            snapshot_lib.replace_resources(snapshots[-1], (service,))
        )
    return snapshots


@pytest.mark.parametrize("forwards", [False, True])
def test_received_deltas_are_cached_in_a_bounded_number(forwards):
    """Guards the memory of nodes that receive changes and forward none."""
    replica = replica_lib.Replica(configuration.ActiveConfiguration())
    snapshots = make_snapshots()
    for old, new in zip(snapshots, snapshots[1:], strict=False):
        delta = snapshot_lib.compute_delta(old, new)
        assert replica.apply(delta) is replica_lib.Outcome.ACTIVATED
        replica.cache_encoded(delta, b"encoded")
        if forwards:
            assert replica.encode_since(old.generation) == b"encoded"

    assert len(replica._encoded_deltas) <= replica_lib.MAX_CACHED_DELTAS
