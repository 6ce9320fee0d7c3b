"""Wire format between nodes: length-prefixed MessagePack lists."""

import enum
import struct
from typing import Any
from typing import Final
import zlib

import msgpack

from lycheestair import messages
from lycheestair.sidecar import streams

# Version of the protocol between nodes, the last element of HELLO. Nodes of
# version 1 send none.
PROTOCOL_VERSION: Final = 3
# From this version on, calls carry a limit for their expected time in the queue.
WAIT_LIMIT_VERSION: Final = 2
# From this version on, calls name their client account and tell whether they are
# dependency calls.
ACCOUNT_VERSION: Final = 3
MAX_FRAME_BYTES: Final = 80_000_000
# Larger byte strings are written apart from the rest of their frame.
MAX_JOINED_BYTES: Final = 65_536
# Header of a long byte string in MessagePack, with its length.
_BIN_32: Final = struct.Struct(">BI")
_BIN_32_TYPE: Final = 0xC6
_LENGTH_PREFIX: Final = struct.Struct(">I")


class FrameType(enum.IntEnum):
    """Type of a frame, its first element; determines the other elements."""

    HELLO = 0
    STATUS = 1
    REQUEST = 2
    RESPONSE = 3
    REFUSAL = 4
    CANCEL = 5
    PING = 6
    PONG = 7
    CONFIGURATION = 8
    CONFIGURATION_REQUEST = 9
    ROLLOUTS = 10
    CONFIGURATION_ACKNOWLEDGED = 11
    DIGEST = 12
    DEPARTURES = 13
    LIMIT = 14
    SUSPECTS = 15
    EVACUATIONS = 20
    # Frames of accounts; only sent from ACCOUNT_VERSION on.
    ALLOWANCE_REPORT = 21
    ALLOWANCE_LIMITS = 22


ACCOUNT_FRAMES: Final = frozenset(
    {FrameType.ALLOWANCE_REPORT, FrameType.ALLOWANCE_LIMITS}
)

Frame = list[Any]

# Configuration changes contain many repeated names, and traffic between nodes
# is billed by volume.
_COMPRESSION_LEVEL: Final = 6


def encode(frame: Frame) -> bytes:
    """Returns an encoded frame."""
    data: bytes = msgpack.packb(frame)
    return _LENGTH_PREFIX.pack(len(data)) + data


def encode_parts(frame: Frame) -> list[bytes | bytearray]:
    """Returns an encoded frame in parts; large byte strings aren't copied."""
    parts: list[bytes | bytearray] = []
    _append_parts(parts, frame)
    return [_LENGTH_PREFIX.pack(sum(map(len, parts))), *parts]


def _append_parts(parts: list[bytes | bytearray], element: Any) -> None:
    if isinstance(element, list):
        parts.append(msgpack.Packer().pack_array_header(len(element)))
        for item in element:
            _append_parts(parts, item)
    elif (
        isinstance(element, (bytes, bytearray))
        and len(element) > MAX_JOINED_BYTES
    ):
        parts += [_BIN_32.pack(_BIN_32_TYPE, len(element)), element]
    else:
        parts.append(msgpack.packb(element))


def compress(element: list[Any]) -> bytes:
    """Encodes and compresses a large element of a frame."""
    return zlib.compress(msgpack.packb(element), _COMPRESSION_LEVEL)


def decompress(data: bytes) -> list[Any]:
    """Decodes the result of `compress`.

    Raises:
      ValueError: The data is malformed.
    """
    try:
        element = msgpack.unpackb(zlib.decompress(data))
    except (TypeError, zlib.error, msgpack.UnpackException) as error:
        raise ValueError(f"malformed compressed element: {error}") from error
    if not isinstance(element, list):
        raise ValueError("compressed element is not a list")
    return element


async def read(stream: streams.Stream) -> Frame:
    """Reads a frame.

    Raises:
      IncompleteMessageError: The connection was closed.
      MalformedMessageError: The frame is malformed or exceeds the size limit.
    """
    (length,) = _LENGTH_PREFIX.unpack(
        await stream.read_exactly(_LENGTH_PREFIX.size)
    )
    if length > MAX_FRAME_BYTES:
        raise messages.MalformedMessageError(
            f"frame of {length} bytes exceeds the size limit"
        )
    try:
        frame = msgpack.unpackb(
            await stream.read_buffer(length), strict_map_key=False
        )
    except (ValueError, msgpack.UnpackException) as error:
        raise messages.MalformedMessageError(
            f"malformed frame: {error!r}"
        ) from error
    if not isinstance(frame, list) or not frame:
        raise messages.MalformedMessageError("frame is not a list or is empty")
    return frame
