"""Lists in JSON documents in which some elements can't be decoded.

One odd entry, nested too deeply or with a number out of range, makes the whole
body invalid for a JSON parser. The elements are then separated without decoding
them, so that the others still count.
"""

import re
from typing import Any
from typing import Final

from absl import logging
import orjson

# Strings are matched as a whole, because they may contain brackets.
_TOKEN: Final = re.compile(rb'"(?:[^"\\]|\\.)*"|[\[\]{},]', re.DOTALL)
# Nesting of the elements of a list that is a field of the document.
_ELEMENT_DEPTH: Final = 2


def decode(body: bytes) -> Any:
    """Decodes a document; leaves out the elements of its lists that it can't.

    Raises:
      orjson.JSONDecodeError: The document itself is invalid.
    """
    try:
        return orjson.loads(body)
    except orjson.JSONDecodeError:
        if not body.lstrip().startswith(b"{"):
            raise
        return orjson.loads(_remove_invalid_elements(body))


def _remove_invalid_elements(body: bytes) -> bytes:
    """Returns the document with the elements that can be decoded."""
    kept: list[bytes] = []
    elements: list[bytes] = []
    removed = 0
    depth = copied_to = element_start = 0
    for token in _TOKEN.finditer(body):
        character = token.group()
        is_opening = character in (b"[", b"{")
        is_closing = character in (b"]", b"}")
        if is_opening:
            depth += 1
            if character == b"[" and depth == _ELEMENT_DEPTH:
                kept.append(body[copied_to : token.end()])
                elements = []
                element_start = token.end()
            continue
        is_list_end = character == b"]" and depth == _ELEMENT_DEPTH
        if is_list_end or (character == b"," and depth == _ELEMENT_DEPTH):
            element = body[element_start : token.start()].strip()
            element_start = token.end()
            if _is_valid(element):
                elements.append(element)
            elif element:
                removed += 1
        if is_list_end:
            kept.append(b",".join(elements))
            copied_to = token.start()
        depth -= is_closing
    logging.warning("%d invalid elements of a list ignored", removed)
    return b"".join(kept) + body[copied_to:]


def _is_valid(element: bytes) -> bool:
    try:
        orjson.loads(element)
    except orjson.JSONDecodeError:
        return False
    return True
