"""Checked fields of settings and documents from outside."""

from collections.abc import Callable
from collections.abc import Mapping
from typing import Any
from typing import TypeVar

T = TypeVar("T")


class SettingsError(Exception):
    """A setting is missing or malformed."""


def parse_lines(text: str) -> dict[str, str]:
    """Returns the values of lines of the form a.b=value by their names."""
    lines = (line.partition("=") for line in text.splitlines())
    return {
        name.strip(): value.strip() for name, equals, value in lines if equals
    }


def list_names(text: str) -> list[str]:
    """Returns the names in a list that is separated by commas."""
    return [name.strip() for name in text.split(",")]


def read(
    settings: Mapping[str, str], name: str, convert: Callable[[str], T]
) -> T:
    """Returns the converted value of a setting.

    Raises:
      SettingsError: It is missing or malformed.
    """
    value = settings.get(name)
    if not value:
        raise SettingsError(f"setting {name} is missing")
    try:
        return convert(value)
    except ValueError as error:
        raise SettingsError(f"setting {name}: {error}") from error


def check_type(value: Any, *types: type) -> Any:
    """Returns a value of one of the types.

    Raises:
      TypeError: It has another type.
    """
    if not isinstance(value, types) or isinstance(value, bool):
        raise TypeError(f"value has the wrong type {type(value).__name__}")
    return value


def check_range(value: int, upper: int) -> int:
    """Returns a number from 0 to the upper bound.

    Raises:
      ValueError: It is out of range.
    """
    if not 0 <= value <= upper:
        raise ValueError("number is out of range")
    return value
