"""Mutual TLS between nodes and for operators.

Every certificate is issued by the deployment's certificate authority. The
certificate of a node contains the DNS name NODE_NAME. Peers verify this name
rather than the address, because instances are often replaced at new addresses.
The certificate of an operator does not contain it and can therefore neither
connect to peers nor impersonate a node; an operator is authorized by common
name.
"""

from collections.abc import Callable
import dataclasses
import os
import socket
import ssl
import threading
import time
from typing import Any
from typing import Final

from absl import logging
import grpc

from lycheestair import settings as settings_lib

NODE_NAME: Final = "node.lycheestair.internal"
# Methods of the operator service accept every certificate that the authority
# has issued; all other methods require a node certificate.
OPERATOR_METHOD_PREFIX: Final = "/lycheestair.Operator/"
# Minimum time between checks of the files, whatever the handshake rate.
RELOAD_CHECK_PERIOD_S: Final = 1.0


class TlsError(Exception):
    """A file cannot be used. The message is one line and names the file."""


class PeerRefusedError(Exception):
    """The peer did not present a valid node certificate."""


@dataclasses.dataclass(frozen=True)
class TlsMaterial:
    """Certificates and private key in PEM, and TLS contexts built from them.

    Attributes:
      file_stats: Modification time, size and inode of each file when read.
      server: Context for accepted connections.
      client: Context for connections to other nodes.
    """

    certificate: bytes
    key: bytes = dataclasses.field(repr=False)
    authority: bytes
    file_stats: tuple[tuple[int, int, int], ...]
    server: ssl.SSLContext
    client: ssl.SSLContext


class CertificateFiles:
    """Certificate and key files, reloaded when they change.

    If the changed files cannot be used, logs a warning and keeps the material
    that was loaded last. Files are replaced one after another, so certificate,
    key and authority may not match each other until all are replaced.
    """

    def __init__(
        self,
        settings: settings_lib.TlsSettings,
        clock: Callable[[], float] = time.monotonic,
    ):
        """Reads the files.

        Raises:
          TlsError: The files cannot be used.
        """
        self._settings = settings
        self._clock = clock
        self._lock = threading.Lock()
        self._checked_at = clock()
        self._unusable_file_stats: object = None
        self._material = _load_material(settings)

    def read(self) -> TlsMaterial:
        """Returns the certificates and key that were loaded last."""
        with self._lock:
            now = self._clock()
            if now - self._checked_at >= RELOAD_CHECK_PERIOD_S:
                self._checked_at = now
                self._reload()
            return self._material

    def _reload(self) -> None:
        # Read before the files: if one is replaced while they are loaded, the
        # next check finds them changed.
        file_stats = _stat_files_or_none(self._settings)
        if file_stats is not None and file_stats in (
            self._material.file_stats,
            self._unusable_file_stats,
        ):
            return
        try:
            self._material = _load_material(self._settings)
        except TlsError as error:
            if self._unusable_file_stats is None:
                logging.warning(
                    "could not reload the TLS certificates and key; keeping"
                    " the previous ones: %s",
                    error,
                )
            # Files that can be read but not used together are not loaded again
            # until one of them changes.
            self._unusable_file_stats = file_stats
            return
        self._unusable_file_stats = None
        logging.info("reloaded the TLS certificates and key")


def open_certificate_files(
    settings: settings_lib.TlsSettings,
) -> CertificateFiles | None:
    """Returns the files named in the settings, None if TLS is off.

    Raises:
      TlsError: The files cannot be used.
    """
    return CertificateFiles(settings) if settings.enabled else None


def _load_material(settings: settings_lib.TlsSettings) -> TlsMaterial:
    file_stats = _stat_files(settings)
    material = TlsMaterial(
        _read_file(settings.certificate),
        _read_file(settings.key),
        _read_file(settings.authority),
        file_stats,
        _build_context(settings, ssl.PROTOCOL_TLS_SERVER),
        _build_context(settings, ssl.PROTOCOL_TLS_CLIENT),
    )
    if _stat_files(settings) != file_stats:
        raise TlsError(
            f"{settings.certificate}: TLS files changed while they were read"
        )
    return material


def _build_context(
    settings: settings_lib.TlsSettings, protocol: int
) -> ssl.SSLContext:
    context = ssl.SSLContext(protocol)
    context.minimum_version = ssl.TLSVersion.TLSv1_3
    context.verify_mode = ssl.CERT_REQUIRED
    if protocol == ssl.PROTOCOL_TLS_SERVER:
        # A session ticket arrives after the handshake and would look like
        # unsolicited data from the peer on an idle connection.
        context.num_tickets = 0
    try:
        context.load_verify_locations(settings.authority)
    except (ssl.SSLError, OSError) as error:
        raise TlsError(
            f"{settings.authority}: not a PEM certificate of a certificate"
            " authority"
        ) from error
    try:
        # Given a password, OpenSSL does not prompt for one on the terminal.
        context.load_cert_chain(
            settings.certificate, settings.key, lambda: b"none"
        )
    except (ssl.SSLError, OSError, ValueError) as error:
        raise TlsError(
            f"{settings.certificate}: not a PEM certificate that matches the"
            f" private key in {settings.key}, which must be unencrypted"
        ) from error
    return context


def _read_file(path: str) -> bytes:
    try:
        with open(path, "rb") as file:
            return file.read()
    except OSError as error:
        raise TlsError(f"{path}: {error.strerror}") from error


def _stat_files(
    settings: settings_lib.TlsSettings,
) -> tuple[tuple[int, int, int], ...]:
    paths = (settings.certificate, settings.key, settings.authority)
    try:
        return tuple(
            (result.st_mtime_ns, result.st_size, result.st_ino)
            for result in map(os.stat, paths)
        )
    except OSError as error:
        raise TlsError(f"{error.filename}: {error.strerror}") from error


def _stat_files_or_none(settings: settings_lib.TlsSettings) -> object:
    try:
        return _stat_files(settings)
    except TlsError:
        return None


def wrap_accepted(
    files: CertificateFiles, sock: socket.socket
) -> ssl.SSLSocket:
    """Performs the server's handshake on a connection to the peer listener.

    The socket's timeout applies to the handshake. Called on the thread of the
    connection, so that a slow peer does not block other connections.

    Raises:
      PeerRefusedError: The handshake failed, or the client is not a node. The
        socket is closed.
    """
    return _do_handshake(
        sock,
        lambda: files.read().server.wrap_socket(sock, server_side=True),
    )


def wrap_connected(
    files: CertificateFiles, sock: socket.socket
) -> ssl.SSLSocket:
    """Performs the client's handshake on a connection to a peer listener.

    Raises:
      PeerRefusedError: The handshake failed, or the server is not a node. The
        socket is closed.
    """
    return _do_handshake(
        sock,
        lambda: files.read().client.wrap_socket(
            sock, server_hostname=NODE_NAME
        ),
    )


def _do_handshake(
    sock: socket.socket, wrap: Callable[[], ssl.SSLSocket]
) -> ssl.SSLSocket:
    try:
        wrapped = wrap()
    except OSError as error:  # Includes SSLError and TimeoutError.
        sock.close()
        raise PeerRefusedError(f"TLS handshake failed: {error}") from error
    names: Any = (wrapped.getpeercert() or {}).get("subjectAltName", ())
    if ("DNS", NODE_NAME) not in names:
        wrapped.close()
        raise PeerRefusedError("certificate is not that of a node")
    return wrapped


def build_server_credentials(files: CertificateFiles) -> grpc.ServerCredentials:
    """Returns reloadable credentials for the control listener."""
    served_material = files.read()

    # Returns None if nothing changed, which grpc-stubs does not allow.
    def fetch_configuration() -> Any:
        nonlocal served_material
        material = files.read()
        if material is served_material:
            return None
        served_material = material
        return _build_configuration(material)

    return grpc.dynamic_ssl_server_credentials(
        _build_configuration(served_material),
        fetch_configuration,
        require_client_authentication=True,
    )


def _build_configuration(
    material: TlsMaterial,
) -> grpc.ServerCertificateConfiguration:
    return grpc.ssl_server_certificate_configuration(
        [(material.key, material.certificate)], material.authority
    )


def open_channel(
    address: str,
    material: TlsMaterial,
    options: tuple[tuple[str, int], ...],
) -> grpc.Channel:
    """Opens a TLS channel to the control listener of a node."""
    credentials = grpc.ssl_channel_credentials(
        material.authority, material.key, material.certificate
    )
    return grpc.secure_channel(
        address,
        credentials,
        options=(*options, ("grpc.ssl_target_name_override", NODE_NAME)),
    )


class NodeInterceptor(grpc.ServerInterceptor):  # type: ignore[type-arg]
    """Requires a node certificate, except for the operator service."""

    def intercept_service(
        self,
        continuation: Callable[[grpc.HandlerCallDetails], Any],
        handler_call_details: grpc.HandlerCallDetails,
    ) -> Any:
        """Implements ServerInterceptor.intercept_service."""
        handler = continuation(handler_call_details)
        if handler is None or handler_call_details.method.startswith(
            OPERATOR_METHOD_PREFIX
        ):
            return handler
        rpc_type = (
            f"{'stream' if handler.request_streaming else 'unary'}_"
            f"{'stream' if handler.response_streaming else 'unary'}"
        )
        create_handler = getattr(grpc, f"{rpc_type}_rpc_method_handler")
        return create_handler(
            _require_node(getattr(handler, rpc_type)),
            handler.request_deserializer,
            handler.response_serializer,
        )


def _require_node(behavior: Callable[..., Any]) -> Callable[..., Any]:
    def call(request: Any, context: grpc.ServicerContext) -> Any:
        if NODE_NAME not in read_auth_property(
            context, "x509_subject_alternative_name"
        ):
            context.abort(
                grpc.StatusCode.PERMISSION_DENIED,
                "certificate is not that of a node",
            )
        return behavior(request, context)

    return call


def read_auth_property(context: grpc.ServicerContext, name: str) -> set[str]:
    """Returns the values of a property in the caller's authentication context.

    Properties taken from the caller's certificate include `x509_common_name`.
    """
    # grpc-stubs declares each property as bytes; it is a sequence of bytes.
    values: Any = context.auth_context().get(name, ())
    return {value.decode("utf-8", "replace") for value in values}
