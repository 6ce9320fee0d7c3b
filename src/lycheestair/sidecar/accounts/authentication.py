"""Finds the client account of a request by the key that the request carries."""

import re
from typing import Final

from lycheestair import errors
from lycheestair import ids
from lycheestair import messages
from lycheestair.sidecar import backend
from lycheestair.sidecar import calls
from lycheestair.sidecar import catalog as catalog_lib
from lycheestair.sidecar import gossip as gossip_lib
from lycheestair.sidecar import http1
from lycheestair.sidecar.accounts import records

# The priority of an account goes before that of the route. Larger than the
# priority of any route.
ACCOUNT_PRIORITY_STEP: Final = 1_000_000
# Scheme and key. Names of schemes are case-insensitive (RFC 9110, section 11.1).
_CREDENTIALS: Final = re.compile(rb"(?i:token) +(\S.*)")
# Some servers take other characters in the name of a header for a hyphen, and
# would accept such a header as the one that the nodes set.
_SEPARATORS: Final = bytes.maketrans(
    b"!#$%&'*+.^_`|~", b"-" * len(b"!#$%&'*+.^_`|~")
)


def normalize_name(name: bytes) -> bytes:
    """Returns the name that a server may take a header's name for."""
    return name.translate(_SEPARATORS)


def parse_key(headers: list[messages.Header], name: bytes) -> bytes | None:
    """Returns the key in the credentials of a request.

    Args:
      headers: Headers of the request.
      name: Name of the header with the credentials.

    Returns:
      None if there are no credentials, or several or malformed ones.
    """
    values = [value for key, value in headers if key == name]
    if len(values) != 1:
        return None
    match = _CREDENTIALS.fullmatch(values[0])
    return None if match is None else match[1]


def combine_priorities(
    account: records.Account, route: catalog_lib.Route
) -> int:
    """Returns the priority of an account's requests of a route."""
    if account.priority is None:
        return route.priority
    return account.priority * ACCOUNT_PRIORITY_STEP + route.priority


class Authenticator:
    """Names the client accounts of requests, and refuses those without a key.

    The configuration in force counts for each request, also on a connection that
    was opened before.
    """

    def __init__(self, headers: backend.HeaderNames, gossip: gossip_lib.Gossip):
        self._headers = headers
        self._gossip = gossip

    def hides(self, name: bytes) -> bool:
        """Returns whether a header has credentials that servers must not get."""
        return (
            name == self._headers.credentials
            and self._gossip.catalog.requires_keys
        )

    def identify(
        self,
        call: calls.Call,
        request: http1.Request,
        route: catalog_lib.Route,
    ) -> calls.Refusal | None:
        """Sets the account and the priority of a client's call.

        Returns:
          A refusal if the request needs a key and has no valid one.
        """
        catalog = self._gossip.catalog
        if not catalog.requires_keys:
            return None
        key = parse_key(request.headers, self._headers.credentials)
        account = None if key is None else catalog.find_account(key)
        if account is not None:
            call.account = ids.AccountName(account.name)
            call.priority = combine_priorities(account, route)
            return None
        if route.is_public:
            return None
        if self._gossip.replica.is_outdated:
            # The newer configuration may have the key, and no client repeats a
            # request after status 401.
            return calls.Refusal(
                errors.ErrorKind.NOT_READY,
                "newer configuration not received yet",
            )
        return calls.Refusal(errors.ErrorKind.UNAUTHENTICATED)
