"""Frames between nodes: a length, then a MessagePack list."""

import enum
import struct
from typing import Any
from typing import Final
import zlib

import msgpack

from lycheestair import messages
from lycheestair.sidecar import streams

MAX_FRAME_BYTES: Final = 80_000_000
_LENGTH: Final = struct.Struct(">I")


class FrameType(enum.IntEnum):
    """First element of each frame; the others depend on it."""

    HELLO = 0
    STATUS = 1
    REQUEST = 2
    ANSWER = 3
    REFUSAL = 4
    CANCEL = 5
    PING = 6
    PONG = 7
    CONFIGURATION = 8
    CONFIGURATION_WANTED = 9
    ROLLOUTS = 10
    CONFIGURATION_KNOWN = 11
    DIGEST = 12


Frame = list[Any]

# Changes of the configuration repeat names, and links are paid by volume.
_COMPRESSION_LEVEL: Final = 6


def encode(frame: Frame) -> bytes:
    """Returns the bytes of a frame."""
    data: bytes = msgpack.packb(frame)
    return _LENGTH.pack(len(data)) + data


def compress(document: list[Any]) -> bytes:
    """Encodes a large part of a frame."""
    return zlib.compress(msgpack.packb(document), _COMPRESSION_LEVEL)


def decompress(data: bytes) -> list[Any]:
    """Decodes what `compress` returned.

    Raises:
      ValueError: The data is malformed.
    """
    try:
        document = msgpack.unpackb(zlib.decompress(data))
    except (TypeError, zlib.error, msgpack.UnpackException) as error:
        raise ValueError(f"not a compressed part: {error}") from error
    if not isinstance(document, list):
        raise ValueError("compressed part is not a list")
    return document


async def read(stream: streams.Stream) -> Frame:
    """Reads a frame.

    Raises:
      IncompleteMessageError: The connection ended.
      MalformedMessageError: It is not a frame.
    """
    (length,) = _LENGTH.unpack(await stream.read_exactly(_LENGTH.size))
    if length > MAX_FRAME_BYTES:
        raise messages.MalformedMessageError(f"frame of {length} bytes")
    try:
        frame = msgpack.unpackb(
            await stream.read_exactly(length), strict_map_key=False
        )
    except (ValueError, msgpack.UnpackException) as error:
        raise messages.MalformedMessageError(
            f"not a frame: {error!r}"
        ) from error
    if not isinstance(frame, list) or not frame:
        raise messages.MalformedMessageError("frame is not a list")
    return frame
