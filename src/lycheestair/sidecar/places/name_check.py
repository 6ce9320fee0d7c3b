"""Reports names and values of the configuration that have no effect."""

from collections.abc import Iterator
import math
from typing import Final

from lycheestair import ids
from lycheestair.sidecar import catalog as catalog_lib
from lycheestair.sidecar import event_log
from lycheestair.sidecar import members
from lycheestair.sidecar.places import cold_values
from lycheestair.sidecar.places import evacuations

# A name is unknown if no node has it after this time: a node that starts doesn't
# know all others at once.
SETTLING_TIME_S: Final = 5.0


class NameCheck:
    """Logs unknown regions and domains, and unusable cold values, once each."""

    def __init__(
        self,
        table: members.MemberTable,
        known: evacuations.Evacuations,
        log: event_log.EventLog,
    ):
        self._table = table
        self._evacuations = known
        self._log = log
        self._checked_generation = ids.Generation(0)
        self._checked_domains: frozenset[ids.FailureDomain] = frozenset()
        self._due_at = math.inf

    def run_if_due(self, catalog: catalog_lib.Catalog, now: float) -> None:
        """Checks new names after a settling time."""
        if (
            catalog.generation == self._checked_generation
            and self._evacuations.known.domains == self._checked_domains
        ):
            return
        if self._due_at == math.inf:
            self._due_at = now + SETTLING_TIME_S
        if now < self._due_at:
            return
        self._due_at = math.inf
        if catalog.generation != self._checked_generation:
            self._checked_generation = catalog.generation
            self._check_regions(catalog)
            self._check_cold_values(catalog)
        added = self._evacuations.known.domains - self._checked_domains
        self._checked_domains = self._evacuations.known.domains
        present = {member.record.failure_domain for member in self._table}
        for domain in sorted(added - present):
            self._log.write("evacuated domain has no node", domain=domain)

    def _check_regions(self, catalog: catalog_lib.Catalog) -> None:
        present = {member.record.region for member in self._table}
        for owner, allowed in _list_allowed_regions(catalog):
            unknown = sorted(set(allowed) - present)
            if unknown:
                self._log.write(
                    "allowed region has no node", owner=owner, regions=unknown
                )

    def _check_cold_values(self, catalog: catalog_lib.Catalog) -> None:
        for limits in catalog.services.values():
            unusable = cold_values.list_unusable(limits)
            if unusable:
                self._log.write(
                    "cold values ignored",
                    service=limits.name,
                    values=unusable,
                )


def _list_allowed_regions(
    catalog: catalog_lib.Catalog,
) -> Iterator[tuple[str, tuple[ids.Region, ...]]]:
    for route in catalog.routes.values():
        yield f"route {route.name}", route.allowed_regions
    for account in catalog.accounts.values():
        yield f"account {account.name}", account.allowed_regions
