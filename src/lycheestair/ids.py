"""Types of identifiers."""

from typing import NewType

ServiceName = NewType("ServiceName", str)
VersionName = NewType("VersionName", str)
RouteName = NewType("RouteName", str)
AccountName = NewType("AccountName", str)
NoteId = NewType("NoteId", str)
MoveId = NewType("MoveId", str)
NodeId = NewType("NodeId", str)
Region = NewType("Region", str)
FailureDomain = NewType("FailureDomain", str)
# Group of nodes that exchange their statuses directly.
Cell = NewType("Cell", str)
# Sequence number of a configuration, strictly increasing from 1. 0 is the empty
# configuration before the first note.
Generation = NewType("Generation", int)
# Address "IP:port" of a listener.
Address = NewType("Address", str)
RequestId = NewType("RequestId", str)
IdempotencyKey = NewType("IdempotencyKey", str)
ShardIndex = NewType("ShardIndex", int)
