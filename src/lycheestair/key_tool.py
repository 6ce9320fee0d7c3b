"""Issues TLS certificates for tests and small deployments.

Creates a certificate authority on first use.
"""

import datetime
import os
import pathlib
import re
from typing import Final

from cryptography import x509
from cryptography.hazmat.primitives import hashes
from cryptography.hazmat.primitives import serialization
from cryptography.hazmat.primitives.asymmetric import ec
from cryptography.x509 import oid

from lycheestair import tls

AUTHORITY: Final = "authority"
# Certificates are valid from this long before they are issued, because the
# clock of an instance may be behind.
CLOCK_SKEW: Final = datetime.timedelta(minutes=5)
_NAME_PATTERN: Final = re.compile(r"[A-Za-z0-9][A-Za-z0-9._-]{0,62}")


class KeyToolError(Exception):
    """The certificates cannot be issued. The message is one line."""


def issue_certificates(
    out: str, nodes: tuple[str, ...], operators: tuple[str, ...], days: int
) -> list[str]:
    """Writes NAME.pem and NAME-key.pem for the authority and each name.

    Never overwrites a file; an authority that already exists in the directory
    signs the new certificates.

    Args:
      out: Output directory, created if it does not exist.
      nodes: Common names of nodes.
      operators: Common names of operators.
      days: Days for which the certificates are valid.

    Returns:
      Paths of the certificates written.

    Raises:
      KeyToolError: A name is invalid or given twice, or a file already exists
        or cannot be read or written.
    """
    names = (*nodes, *operators)
    for name in names:
        if not _NAME_PATTERN.fullmatch(name) or name == AUTHORITY:
            raise KeyToolError(
                f"{name!r}: a name starts with a letter or digit, contains only"
                " letters, digits, '.', '_' and '-', has at most 63 characters"
                f" and is not {AUTHORITY!r}"
            )
        if names.count(name) > 1:
            raise KeyToolError(f"{name!r}: given more than once")
    directory = pathlib.Path(out)
    lifetime = datetime.timedelta(days=days)
    try:
        directory.mkdir(parents=True, exist_ok=True)
        certificate_paths = []
        if not (directory / f"{AUTHORITY}.pem").exists():
            certificate_paths.append(_create_authority(directory, lifetime))
        for name in names:
            certificate_paths.append(
                _issue_certificate(directory, name, name in nodes, lifetime)
            )
    except OSError as error:
        raise KeyToolError(f"{error.filename}: {error.strerror}") from error
    return certificate_paths


def _create_authority(
    directory: pathlib.Path, lifetime: datetime.timedelta
) -> str:
    key = ec.generate_private_key(ec.SECP256R1())
    subject = _build_name("lycheestair authority")
    certificate = (
        _start_builder(subject, subject, key.public_key(), lifetime)
        .add_extension(x509.BasicConstraints(True, 0), critical=True)
        .add_extension(
            # Only key_cert_sign and crl_sign are set.
            x509.KeyUsage(
                False, False, False, False, False, True, True, False, False
            ),
            critical=True,
        )
        .add_extension(
            x509.SubjectKeyIdentifier.from_public_key(key.public_key()),
            critical=False,
        )
        .sign(key, hashes.SHA256())
    )
    return _write_key_and_certificate(directory, AUTHORITY, key, certificate)


def _issue_certificate(
    directory: pathlib.Path,
    name: str,
    is_node: bool,
    lifetime: datetime.timedelta,
) -> str:
    authority = x509.load_pem_x509_certificate(
        (directory / f"{AUTHORITY}.pem").read_bytes()
    )
    authority_key = serialization.load_pem_private_key(
        (directory / f"{AUTHORITY}-key.pem").read_bytes(), None
    )
    if not isinstance(authority_key, ec.EllipticCurvePrivateKey):
        raise KeyToolError(f"{directory}/{AUTHORITY}-key.pem: not an EC key")
    key = ec.generate_private_key(ec.SECP256R1())
    usages = [oid.ExtendedKeyUsageOID.CLIENT_AUTH]
    if is_node:
        usages.append(oid.ExtendedKeyUsageOID.SERVER_AUTH)
    builder = (
        _start_builder(
            _build_name(name), authority.subject, key.public_key(), lifetime
        )
        .add_extension(x509.BasicConstraints(False, None), critical=True)
        .add_extension(x509.ExtendedKeyUsage(usages), critical=False)
        .add_extension(
            x509.AuthorityKeyIdentifier.from_issuer_public_key(
                authority_key.public_key()
            ),
            critical=False,
        )
    )
    if is_node:
        builder = builder.add_extension(
            x509.SubjectAlternativeName([x509.DNSName(tls.NODE_NAME)]),
            critical=False,
        )
    return _write_key_and_certificate(
        directory, name, key, builder.sign(authority_key, hashes.SHA256())
    )


def _build_name(common_name: str) -> x509.Name:
    return x509.Name([x509.NameAttribute(oid.NameOID.COMMON_NAME, common_name)])


def _start_builder(
    subject: x509.Name,
    issuer: x509.Name,
    key: ec.EllipticCurvePublicKey,
    lifetime: datetime.timedelta,
) -> x509.CertificateBuilder:
    now = datetime.datetime.now(datetime.UTC)
    return (
        x509.CertificateBuilder()
        .subject_name(subject)
        .issuer_name(issuer)
        .public_key(key)
        .serial_number(x509.random_serial_number())
        .not_valid_before(now - CLOCK_SKEW)
        .not_valid_after(now + lifetime)
    )


def _write_key_and_certificate(
    directory: pathlib.Path,
    name: str,
    key: ec.EllipticCurvePrivateKey,
    certificate: x509.Certificate,
) -> str:
    path = directory / f"{name}.pem"
    _create_file(
        directory / f"{name}-key.pem",
        key.private_bytes(
            serialization.Encoding.PEM,
            serialization.PrivateFormat.PKCS8,
            serialization.NoEncryption(),
        ),
        0o600,
    )
    _create_file(
        path, certificate.public_bytes(serialization.Encoding.PEM), 0o644
    )
    return str(path)


def _create_file(path: pathlib.Path, data: bytes, mode: int) -> None:
    descriptor = os.open(path, os.O_WRONLY | os.O_CREAT | os.O_EXCL, mode)
    with os.fdopen(descriptor, "wb") as file:
        file.write(data)
