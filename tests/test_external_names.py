"""Guards names outside the process against renames inside it.

Clients, stored data, settings files and operators' tools use these names.
"""

import ast
from collections.abc import Iterator
import pathlib
import re

SOURCES = pathlib.Path(__file__).parent.parent / "src"
EXTERNAL_NAMES = pathlib.Path(__file__).parent / "data" / "external_names.txt"


def _read_names(path: pathlib.Path) -> Iterator[str]:
    """Yields each text, field, argument, keyword and function of a module."""
    for node in ast.walk(ast.parse(path.read_text())):
        if isinstance(node, ast.Constant):
            if isinstance(node.value, str):
                yield node.value
            elif isinstance(node.value, bytes):
                yield node.value.decode("latin-1")
        elif isinstance(node, ast.ClassDef):
            for statement in node.body:
                if isinstance(statement, ast.AnnAssign):
                    yield ast.unparse(statement.target)
        elif isinstance(node, ast.FunctionDef):
            yield node.name
        elif isinstance(node, ast.keyword | ast.arg) and node.arg:
            yield node.arg


def test_each_external_name_occurs_in_the_sources():
    """Guards against a renamed identifier that is also sent or stored."""
    found = {
        name
        for path in SOURCES.rglob("*.py")
        if "_pb2" not in path.name
        for name in _read_names(path)
    }
    for path in SOURCES.rglob("*.proto"):
        found.update(re.findall(r"[\w.]+", path.read_text()))
    names = EXTERNAL_NAMES.read_text().split()
    assert names
    assert [name for name in names if name not in found] == []
