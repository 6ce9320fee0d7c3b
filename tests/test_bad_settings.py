"""Guards against invalid settings files that load or crash the loader.

They must raise SettingsError with a message that names every invalid key.
"""

import hypothesis
from hypothesis import strategies as st
import pytest

from lycheestair import settings as settings_lib

VALID_SETTINGS = """
topology = { a1 = "a" }
[node]
id = "n"
region = "a"
failure_domain = "a1"
[listeners]
caller = "127.0.0.1:1"
peer = "127.0.0.1:2"
control = "127.0.0.1:3"
local = "127.0.0.1:4"
[store]
address = "127.0.0.1:5"
[requests]
key_retention_s = 600.0
"""


def load(directory, data):
    path = directory / "node.toml"
    path.write_bytes(data)
    return settings_lib.load_settings(str(path))


@pytest.mark.parametrize(
    "old, new, fragments",
    [
        ("600.0", "nan", ["key_retention_s"]),
        ("600.0", "inf", ["key_retention_s"]),
        ("600.0", "-1", ["key_retention_s"]),
        ("600.0", "9" * 5_000, ["not TOML"]),
        ('id = "n"', "id = 7", ["node.id"]),
        ('region = "a"', 'region = "b"', ["topology"]),
        ("127.0.0.1:5", "store.example:5", ["store.address"]),
        ("127.0.0.1:5", "127.0.0.1:99999", ["store.address"]),
        ("127.0.0.1:5", "999.0.0.1:5", ["store.address"]),
        (
            "[requests]\nkey_retention_s = 600.0",
            "[requests]\ncolour = 1\nmax_depth = 0\n[more]\n",
            ["colour", "max_depth", "more"],
        ),
    ],
)
def test_invalid_settings_are_rejected_with_all_errors(
    tmp_path, old, new, fragments
):
    with pytest.raises(settings_lib.SettingsError) as error_info:
        load(tmp_path, VALID_SETTINGS.replace(old, new).encode())
    assert all(
        fragment in str(error_info.value) for fragment in fragments
    ), error_info.value


@hypothesis.settings(
    max_examples=300, derandomize=True, database=None, deadline=None
)
@hypothesis.given(
    start=st.integers(0, len(VALID_SETTINGS)),
    length=st.integers(0, 30),
    inserted=st.binary(max_size=12),
)
def test_corrupted_file_loads_or_raises_settings_error(
    tmp_path_factory, start, length, inserted
):
    data = VALID_SETTINGS.encode()
    corrupted = data[:start] + inserted + data[start + length :]
    try:
        loaded = load(tmp_path_factory.mktemp("settings"), corrupted)
    except settings_lib.SettingsError as error:
        assert str(error)
        return
    assert loaded.node.id
