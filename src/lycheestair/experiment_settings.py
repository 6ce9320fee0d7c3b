"""Settings of an experiment, read from a TOML file. Unknown keys are rejected."""

import pathlib
import tomllib
from typing import Annotated
from typing import Any
from typing import Final

import pydantic
import pydantic.dataclasses

DEFAULT_SERVICE: Final = "service"
_STRICT: Final = pydantic.ConfigDict(extra="forbid", frozen=True)
_PositiveInt = Annotated[int, pydantic.Field(gt=0)]
_PositiveFloat = Annotated[float, pydantic.Field(gt=0, allow_inf_nan=False)]
_NonNegative = Annotated[float, pydantic.Field(ge=0, allow_inf_nan=False)]


class ExperimentSettingsError(Exception):
    """The settings file can't be read or is invalid."""


@pydantic.dataclasses.dataclass(config=_STRICT)
class Kind:
    """A kind of request.

    Attributes:
      rate_per_s: Requests a second over all nodes; 0 for a kind that is only
        called.
      work_s: Mean time in seconds that a request takes at a server. Single
        requests take half to one and a half times as long.
      objective_s: Latency objective in seconds.
      timeout_s: Time in seconds after which its client gives up.
      priority: 0 is the highest.
      retries: How often a refused client returns, after its Retry-After.
      service: Service that runs it.
      account: Client account that sends it, empty for none. Servers without free
        slots divide them among the accounts.
      calls: Names of the kinds of the dependency calls that a request makes,
        together, when half of its work is done. The timeout of a call begins
        then.
    """

    name: Annotated[str, pydantic.Field(min_length=1)]
    rate_per_s: _NonNegative
    work_s: _PositiveFloat
    objective_s: _PositiveFloat
    timeout_s: _PositiveFloat
    priority: Annotated[int, pydantic.Field(ge=0)] = 0
    retries: Annotated[int, pydantic.Field(ge=0)] = 0
    service: str = DEFAULT_SERVICE
    account: str = ""
    calls: list[str] = pydantic.Field(default_factory=list)


@pydantic.dataclasses.dataclass(config=_STRICT)
class Fault:
    """A time during which something differs.

    Attributes:
      at_s: Its start, in seconds from the start of the experiment.
      for_s: Its duration in seconds.
      slow_servers: Number of servers that are slower meanwhile.
      slowness: Factor of the work at these servers.
      rate: Factor of the rates of the kinds.
      kinds: Names of the kinds whose rates differ, none for all.
      limited_servers: Number of servers that name a limit meanwhile.
      limit_per_s: Requests per second that each of them accepts.
    """

    at_s: _NonNegative
    for_s: _PositiveFloat
    slow_servers: Annotated[int, pydantic.Field(ge=0)] = 0
    slowness: _PositiveFloat = 1.0
    rate: _PositiveFloat = 1.0
    kinds: list[str] = pydantic.Field(default_factory=list)
    limited_servers: Annotated[int, pydantic.Field(ge=0)] = 0
    limit_per_s: _NonNegative = 0.0


@pydantic.dataclasses.dataclass(config=_STRICT)
class Experiment:
    """A load on the services of one region.

    Attributes:
      kinds: Kinds of requests.
      servers: Number of nodes, each with a backend server.
      services: Numbers of nodes by service, which replace `servers`.
      failure_domains: Number of failure domains, among which the nodes of each
        service are divided in turn.
      slots: Requests that each server runs at once.
      duration_s: Time in seconds during which requests arrive.
      report_interval_s: Time in seconds between two load reports of a node.
      latency_s: Latency in seconds between two nodes.
      min_slowness: Factor of the work at the fastest server.
      max_slowness: Factor of the work at the slowest server.
      noise_share: Share of the time for which each server is slower because it
        shares its machine.
      noise_slowness: Factor of the work meanwhile.
      noise_episode_s: Duration in seconds of each such time.
      reports_noise: Whether responses name the present slowdown.
      limits_queues: Whether servers send calls back that would wait longer than
        at another server.
      faults: Times during which something differs.
    """

    kinds: Annotated[list[Kind], pydantic.Field(min_length=1)]
    slots: _PositiveInt
    servers: _PositiveInt = 1
    failure_domains: _PositiveInt = 1
    duration_s: _PositiveFloat = 20.0
    report_interval_s: _PositiveFloat = 0.7
    latency_s: _NonNegative = 0.0004
    min_slowness: _PositiveFloat = 0.8
    max_slowness: _PositiveFloat = 1.3
    noise_share: Annotated[float, pydantic.Field(ge=0, lt=1)] = 0.0
    noise_slowness: _PositiveFloat = 2.5
    noise_episode_s: _PositiveFloat = 0.6
    reports_noise: bool = True
    limits_queues: bool = True
    faults: list[Fault] = pydantic.Field(default_factory=list)
    services: dict[str, _PositiveInt] = pydantic.Field(default_factory=dict)

    @pydantic.model_validator(mode="after")
    def _check_references(self) -> "Experiment":
        names = {kind.name for kind in self.kinds}
        services = self.services or {DEFAULT_SERVICE}
        for kind in self.kinds:
            if unknown := {*kind.calls} - names:
                raise ValueError(f"{kind.name} calls unknown kinds {unknown}")
            if kind.service not in services:
                raise ValueError(f"{kind.name} has an unknown service")
        for fault in self.faults:
            if unknown := {*fault.kinds} - names:
                raise ValueError(f"a fault names unknown kinds {unknown}")
        return self


_ADAPTER: Final = pydantic.TypeAdapter(Experiment)


def read(path: pathlib.Path) -> Experiment:
    """Reads an experiment from a TOML file.

    Raises:
      ExperimentSettingsError: The file can't be read or is invalid.
    """
    try:
        document: dict[str, Any] = tomllib.loads(
            path.read_text(encoding="utf-8")
        )
        return _ADAPTER.validate_python(document)
    except (OSError, UnicodeDecodeError, tomllib.TOMLDecodeError) as error:
        raise ExperimentSettingsError(f"{path}: {error}") from error
    except pydantic.ValidationError as error:
        problems = "; ".join(
            f"{'.'.join(str(part) for part in problem['loc'])}: "
            f"{problem['msg']}"
            for problem in error.errors()
        )
        raise ExperimentSettingsError(f"{path}: {problems}") from error
