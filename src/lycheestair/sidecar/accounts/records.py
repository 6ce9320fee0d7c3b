"""Client accounts as the configuration defines them."""

from collections.abc import Callable
from collections.abc import Iterable
from collections.abc import Mapping
import dataclasses
import hashlib
import math
from typing import Any
from typing import Final

from lycheestair import ids
from lycheestair.sidecar import fields as fields_lib

# Long enough that no two of the keys of a fleet share a digest.
KEY_DIGEST_BYTES: Final = 16


# Priorities are sent to other nodes in a number of 64 bits.
MAX_PRIORITY: Final = 1_000_000
# Reasons that are kept of the accounts that were left out of a configuration.
MAX_REJECTIONS: Final = 20


class AccountError(ValueError):
    """An account is malformed; the text names the account but no key."""


@dataclasses.dataclass(frozen=True, slots=True)
class Account:
    """A client account.

    Attributes:
      key_digests: Digests of its API keys. The keys themselves are not kept.
      priority: Priority of its requests, which goes before that of the route;
        None if the route's applies.
      rate_per_s: Requests a second that all nodes together admit; 0 for no
        limit.
      burst: Requests that they admit in addition after a time without any.
      allowed_regions: Regions in which its requests may be served; empty if all
        are allowed.
    """

    name: ids.AccountName
    key_digests: tuple[bytes, ...]
    priority: int | None = None
    rate_per_s: float = 0.0
    burst: float = 0.0
    allowed_regions: tuple[ids.Region, ...] = ()

    def __post_init__(self) -> None:
        """Checks the values.

        Raises:
          AccountError: One of them is not usable.
        """
        if not self.name or not self.key_digests:
            raise AccountError(f"account {self.name!r} has no name or no key")
        # The name is sent to backend servers in a header.
        if not self.name.isprintable():
            raise AccountError(f"name {self.name!r} can't be sent in a header")
        if not (
            0.0 <= self.rate_per_s < math.inf and 0.0 <= self.burst < math.inf
        ):
            raise AccountError(
                f"allowance of account {self.name!r} is not finite and positive"
            )

    def encode(self) -> list[Any]:
        """Returns the account as a list of plain values."""
        # dataclasses.astuple copies all values, which takes ten times as long.
        return [
            self.name,
            self.key_digests,
            self.priority,
            self.rate_per_s,
            self.burst,
            self.allowed_regions,
        ]


class AccountList:
    """Collects the valid accounts of a configuration.

    Attributes:
      accounts: Valid accounts by name.
      rejections: Why accounts were left out; each names the account but no key.
        There are no more than MAX_REJECTIONS.
    """

    def __init__(self) -> None:
        self.accounts: dict[ids.AccountName, Account] = {}
        self.rejections: list[str] = []
        self._known_digests: set[bytes] = set()

    def add(self, name: Any, decode: Callable[[], Account]) -> None:
        """Adds the result of a function that decodes an account.

        Of two accounts with the same name or with the same key, the later one is
        left out.

        Args:
          name: Name of the account as far as it is known.
          decode: Decodes the account; whatever it raises makes the account
            invalid.
        """
        try:
            account = decode()
            if account.name in self.accounts:
                raise AccountError(f"account {name!r} occurs twice")
            if not self._known_digests.isdisjoint(account.key_digests):
                raise AccountError(
                    f"account {name!r} has a key of another account"
                )
        except AccountError as error:
            self._reject(str(error))
        except Exception as error:
            # The text of another error may contain a key.
            shown = name if isinstance(name, str) else None
            self._reject(f"account {shown!r}: {type(error).__name__}")
        else:
            self._known_digests.update(account.key_digests)
            self.accounts[account.name] = account

    def _reject(self, reason: str) -> None:
        if len(self.rejections) < MAX_REJECTIONS:
            self.rejections.append(reason)


def create_account(
    name: Any,
    keys: Any,
    priority: Any,
    rate_per_s: Any,
    burst: Any,
    allowed_regions: Iterable[ids.Region],
) -> Account:
    """Returns an account with values from outside.

    Raises:
      TypeError, ValueError, ArithmeticError: A value is not usable.
    """
    digests = []
    for key in fields_lib.check_type(keys, list):
        if not fields_lib.check_type(key, str):
            raise AccountError(f"account {name!r} has an empty key")
        digests.append(compute_key_digest(key.encode()))
    return Account(
        ids.AccountName(fields_lib.check_type(name, str)),
        tuple(digests),
        None if priority is None else _check_priority(priority),
        float(fields_lib.check_type(rate_per_s or 0, int, float)),
        float(fields_lib.check_type(burst or 0, int, float)),
        tuple(allowed_regions),
    )


def _check_priority(value: Any) -> int:
    number: int = fields_lib.check_type(value, int)
    if abs(number) > MAX_PRIORITY:
        raise ValueError("priority is out of range")
    return number


def decode_account(fields: list[Any]) -> Account:
    """Decodes an account.

    Raises:
      TypeError, ValueError: The fields are malformed.
    """
    name, digests, priority, rate_per_s, burst, regions = fields
    return Account(
        name, tuple(digests), priority, rate_per_s, burst, tuple(regions)
    )


def compute_key_digest(key: bytes) -> bytes:
    """Returns the digest that stands for an API key in memory and frames."""
    return hashlib.blake2b(key, digest_size=KEY_DIGEST_BYTES).digest()


def index_by_key(
    accounts: Mapping[ids.AccountName, Account],
) -> dict[bytes, Account]:
    """Returns the accounts by the digests of their keys."""
    return {
        digest: account
        for account in accounts.values()
        for digest in account.key_digests
    }
