"""Entry point of the node process: `python -m lycheestair.platform`."""

import asyncio
import gc
from typing import Final

from lycheestair import ids
from lycheestair.platform import documents
from lycheestair.platform import objects
from lycheestair.platform import requests
from lycheestair.platform import settings as settings_lib
from lycheestair.sidecar import backend
from lycheestair.sidecar import event_log
from lycheestair.sidecar import http1
from lycheestair.sidecar import node

_ACKNOWLEDGEMENT: Final = b"{}"


class Platform:
    """Implements node.Platform."""

    headers = requests.HEADERS
    kinds = documents.KINDS
    codec = documents.DocumentCodec()
    readiness_path = requests.READINESS_PATH

    def connect_store(self, address: ids.Address) -> objects.ObjectStore:
        """Implements node.Platform."""
        return objects.ObjectStore(address)

    def decode_announcement(
        self, request: http1.Request
    ) -> backend.Announcement:
        """Implements node.Platform."""
        return requests.decode_announcement(request)

    def encode_acknowledgement(self) -> bytes:
        """Implements node.Platform."""
        return _ACKNOWLEDGEMENT


def main() -> None:
    """Runs a node with the platform's settings file until SIGTERM."""
    event_log.configure()
    settings = settings_lib.load(settings_lib.find_path())
    # Objects created by imports live as long as the process, so garbage
    # collections need not examine them.
    gc.freeze()
    asyncio.run(node.SidecarNode(settings, Platform()).run())
