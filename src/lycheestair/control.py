"""gRPC server of the control listener, and gRPC channels to other nodes."""

from collections.abc import Callable
from concurrent import futures
import threading
from typing import Final

from absl import logging
import grpc

from lycheestair import ids
from lycheestair import settings as settings_lib
from lycheestair import tls

MAX_MESSAGE_BYTES: Final = 4 * 1024 * 1024
SERVER_THREADS: Final = 16
CHANNEL_OPTIONS: Final = (
    ("grpc.max_receive_message_length", MAX_MESSAGE_BYTES),
    ("grpc.max_send_message_length", MAX_MESSAGE_BYTES),
    # Off, because two nodes could bind the same port with SO_REUSEPORT.
    ("grpc.so_reuseport", 0),
    # Reconnects to a restarted peer within one or two probe periods.
    ("grpc.initial_reconnect_backoff_ms", 100),
    ("grpc.max_reconnect_backoff_ms", 1_000),
    # Ignores http_proxy and similar environment variables for peer calls.
    ("grpc.enable_http_proxy", 0),
)

# Adds the handlers of a service to a gRPC server.
Registration = Callable[[grpc.Server], None]


class ControlServer:
    """gRPC server of a node's control listener."""

    def __init__(self, settings: settings_lib.Settings):
        """Initializes the server without listening.

        Raises:
          TlsError: The configured certificates or key cannot be used.
        """
        self._settings = settings
        self._files = tls.open_certificate_files(settings.tls)
        self._server = grpc.server(
            futures.ThreadPoolExecutor(
                SERVER_THREADS, thread_name_prefix="control"
            ),
            interceptors=[tls.NodeInterceptor()] if self._files else [],
            options=CHANNEL_OPTIONS,
        )

    def register(self, registration: Registration) -> None:
        """Adds a service. Must be called before `start`."""
        registration(self._server)

    def start(self) -> None:
        """Binds the address and starts serving.

        Raises:
          RuntimeError: The address cannot be bound.
        """
        address = self._settings.listeners.control
        if self._files is None:
            logging.warning(
                "TLS is off: control and peer traffic is unencrypted"
            )
            self._server.add_insecure_port(address)
        else:
            logging.info(
                "TLS is on, using certificate %s",
                self._settings.tls.certificate,
            )
            self._server.add_secure_port(
                address, tls.build_server_credentials(self._files)
            )
        self._server.start()

    def stop(self, grace_s: float) -> None:
        """Stops the server; cancels calls that outlast the grace period."""
        self._server.stop(grace_s).wait()


class PeerChannels:
    """Cache of gRPC channels to other nodes, one per address."""

    def __init__(self, settings: settings_lib.Settings):
        """Initializes an empty cache.

        Raises:
          TlsError: The configured certificates or key cannot be used.
        """
        self._files = tls.open_certificate_files(settings.tls)
        self._material = self._files.read() if self._files else None
        self._lock = threading.Lock()
        self._channels: dict[ids.Address, grpc.Channel] = {}

    def connect(self, address: ids.Address) -> grpc.Channel:
        """Returns the channel to an address and opens it on first use."""
        material = self._files.read() if self._files else None
        with self._lock:
            if material is not self._material:
                # A channel uses the certificate it was created with for all
                # its connections. Calls in progress keep a reference to their
                # channel and can complete.
                self._channels.clear()
                self._material = material
            channel = self._channels.get(address)
            if channel is None:
                channel = open_channel(address, material)
                self._channels[address] = channel
            return channel

    def retain(self, addresses: set[ids.Address]) -> None:
        """Closes the channels to all other addresses."""
        with self._lock:
            stale = self._channels.keys() - addresses
            removed = [self._channels.pop(address) for address in stale]
        for channel in removed:
            channel.close()

    def close(self) -> None:
        """Closes all channels."""
        self.retain(set())


def open_channel(
    address: ids.Address, material: tls.TlsMaterial | None
) -> grpc.Channel:
    """Opens a channel to a control listener.

    Args:
      address: Address of the control listener.
      material: Certificates and key; None opens an unencrypted channel.
    """
    if material is None:
        return grpc.insecure_channel(address, options=CHANNEL_OPTIONS)
    return tls.open_channel(address, material, CHANNEL_OPTIONS)
