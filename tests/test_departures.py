"""Backend servers that have left a node of the product stay out of use."""

import json

import request_support as support


def leave(node, **fields):
    """Withdraws the backend server of a node as it does before it exits."""
    body = json.dumps({**node.announcement, **fields})
    response = support.call(node.local, "DELETE", "/endpoint", body)
    assert response.status == 200, response.data


def announce(node, started_ms):
    """Sends a heartbeat of a process; returns whether it has left already."""
    body = json.dumps({**node.announcement, "started_ms": started_ms})
    response = support.call(node.local, "PUT", "/endpoint", body)
    assert response.status == 200, response.data
    return json.loads(response.data).get("departed", False)


def request(node):
    node.data_plane._endpoint_table.rebuild()
    return support.call(node.caller, "GET", "/read").status


def test_delayed_heartbeat_of_a_server_that_left_is_ignored():
    """Guards against requests that are lost when the server exits."""
    with support.Cluster() as cluster:
        node = cluster.nodes[0]
        node.serve(support.make_response)
        assert not announce(node, 1_000)
        assert request(node) == 200
        leave(node, started_ms=1_000)
        assert announce(node, 1_000)
        assert request(node) == 503
        # The next process at the same address is used.
        assert not announce(node, 2_000)
        assert request(node) == 200


def test_server_that_leaves_an_unknown_node_is_remembered():
    """Guards against a delayed heartbeat at a node that has restarted."""
    with support.Cluster() as cluster:
        node = cluster.nodes[0]
        node.serve(support.make_response)
        leave(node)
        leave(node, started_ms=3_000)
        assert announce(node, 2_999)
        assert announce(node, 3_000)
        assert request(node) == 503
        assert not announce(node, 3_001)
        assert request(node) == 200


def test_delayed_heartbeat_is_no_sign_of_life():
    """Guards against an ignored heartbeat that keeps another server in use."""
    with support.Cluster() as cluster:
        node = cluster.nodes[0]
        node.serve(support.make_response)
        assert not announce(node, 1_000)
        leave(node, started_ms=1_000)
        assert not announce(node, 2_000)
        heard_at = node.data_plane._serving_node._last_heartbeat_at
        assert announce(node, 1_000)
        assert node.data_plane._serving_node._last_heartbeat_at == heard_at


def test_body_that_cannot_be_read_still_withdraws():
    """Guards against servers that can't leave."""
    with support.Cluster() as cluster:
        node = cluster.nodes[0]
        node.serve(support.make_response)
        response = support.call(node.local, "DELETE", "/endpoint", "{")
        assert json.loads(response.data) == {"idle": True}
        assert request(node) == 503


def test_delayed_departure_does_not_withdraw_the_next_process():
    """Guards against a server that is out of use until its next heartbeat."""
    with support.Cluster() as cluster:
        node = cluster.nodes[0]
        node.serve(support.make_response)
        assert not announce(node, 2_000)
        leave(node, started_ms=1_000)
        assert request(node) == 200
        leave(node)
        assert request(node) == 503
        assert announce(node, 2_000)
