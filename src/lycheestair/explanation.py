"""Explains where a request would be sent now, without sending it."""

from collections.abc import Iterator
import time
from typing import Final

from lycheestair import calls
from lycheestair import endpoints
from lycheestair import errors
from lycheestair import ids
from lycheestair import messages
from lycheestair import operator_pb2
from lycheestair import proxy as proxy_lib
from lycheestair import routing
from lycheestair import suspects as suspects_lib
from lycheestair import version_choice

# Endpoints listed of a version, candidates first.
MAX_ENDPOINTS: Final = 100
# Names of the tiers of endpoints.
DISTANCES: Final = ("failure domain", "region", "remote")


def parse_request(
    request: operator_pb2.ExplainRequest,
) -> messages.Request:
    """Returns the request without a body that an operator describes.

    Raises:
      MalformedMessageError: A listener would refuse its head.
    """
    fields = [("host", request.host)]
    fields += [(header.name, header.value) for header in request.headers]
    lines = [f"{request.method} {request.target} HTTP/1.1"]
    lines += [f"{name}: {value}" for name, value in fields]
    if any("\r" in line or "\n" in line for line in lines):
        raise messages.MalformedMessageError("line break in a header")
    head = messages.parse_head("\r\n".join([*lines, "", ""]).encode())
    line = messages.parse_request_line(head)
    return messages.Request(
        method=line.method.decode(),
        target=line.target,
        path=line.target.partition(b"?")[0].decode("latin-1"),
        host=line.host.decode(),
        headers=head.headers,
        body=b"",
    )


class Explainer:
    """Explains the decisions of one node on requests of its clients.

    It only reads the state of the parts that decide.
    """

    def __init__(
        self,
        proxy: proxy_lib.Proxy,
        version_chooser: version_choice.VersionChooser,
        endpoint_table: endpoints.EndpointTable,
        suspects: suspects_lib.SuspectTable,
    ):
        self._proxy = proxy
        self._version_chooser = version_chooser
        self._endpoint_table = endpoint_table
        self._suspects = suspects

    def explain(self, request: messages.Request) -> operator_pb2.ExplainReply:
        """Returns where the node would send a request now, and why."""
        routes = self._proxy.routes
        reply = operator_pb2.ExplainReply(
            generation=routes.generation if routes else 0
        )
        prepared = self._proxy.prepare(request, "", time.monotonic())
        if isinstance(prepared, errors.Failure):
            _set_refusal(reply, prepared)
            return reply
        call, entry = prepared
        route = entry.route
        reply.route, reply.service = route.name, route.service
        reply.idempotent = route.idempotent
        reply.timeout_ms, reply.retry_limit = (
            route.timeout_ms,
            route.retry_limit,
        )
        reply.suspect = (
            self._suspects.classify(call) is suspects_lib.Verdict.RUN_ALONE
        )
        reply.versions.extend(
            self._list_versions(entry, call if reply.suspect else None)
        )
        if not any(version.endpoints for version in reply.versions):
            _set_refusal(reply, errors.Failure(errors.ErrorKind.NO_ENDPOINT))
        return reply

    def _list_versions(
        self, entry: routing.RouteEntry, suspect: calls.Call | None
    ) -> Iterator[operator_pb2.VersionChoice]:
        probes = {
            probe.version: probe.move_id
            for probe in entry.probes
            if self._version_chooser.is_probe_due(entry, probe)
        }
        shares = self._version_chooser.limit_shares(
            entry.route.service, entry.shares
        )
        for version in sorted(
            entry.shares.keys() | probes.keys(),
            key=lambda version: (-shares.get(version, 0), version),
        ):
            yield operator_pb2.VersionChoice(
                version=version,
                share_bps=entry.shares.get(version, 0),
                limited_share_bps=shares.get(version, 0),
                probe_of=probes.get(version, ""),
                endpoints=self._list_endpoints(
                    entry.route.service, version, suspect
                ),
            )

    def _list_endpoints(
        self,
        service: ids.ServiceName,
        version: ids.VersionName,
        suspect: calls.Call | None,
    ) -> list[operator_pb2.EndpointChoice]:
        assessments = self._endpoint_table.assess(
            service, version, suspect.fingerprint() if suspect else None
        )
        # Sorting is stable, so that the nearest stay first.
        assessments.sort(key=lambda assessment: not assessment.is_candidate)
        return [
            operator_pb2.EndpointChoice(
                node_id=assessment.target.node_id,
                distance=DISTANCES[assessment.target.tier],
                availability=assessment.availability.value,
                load=assessment.load,
                slots=assessment.target.endpoint.slots,
                candidate=assessment.is_candidate,
            )
            for assessment in assessments[:MAX_ENDPOINTS]
        ]


def _set_refusal(
    reply: operator_pb2.ExplainReply, failure: errors.Failure
) -> None:
    response = failure.response
    reply.refused_status = response.status
    reply.refused_reason = ": ".join(
        filter(None, (response.message, failure.detail))
    )
