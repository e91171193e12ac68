"""Settings of certificate files, and the TLS contexts that are created from them.

PEM is the text format of certificates and keys. pydantic is the data validation library.
"""

import ssl
from pathlib import Path
from typing import Self

from pydantic import BaseModel, ConfigDict, Field, model_validator
from pydantic_core import PydanticCustomError

from baobabstream.settings.paths import SettingsPath

__all__ = ["TLS_ERROR_TYPE", "PeerTlsFiles", "TlsFiles"]

# Type of the validation errors about certificate files.
TLS_ERROR_TYPE = "tls_files"


class TlsFiles(BaseModel):
    """Certificate files of a listener, in PEM format."""

    model_config = ConfigDict(extra="forbid", frozen=True)

    certificate_file: SettingsPath = Field(description="Certificate chain.")
    key_file: SettingsPath = Field(description="Private key of the certificate.")
    ca_file: SettingsPath | None = Field(
        default=None, description="If set, clients must show a certificate of this authority."
    )

    @model_validator(mode="after")
    def _check_files(self) -> Self:
        """Refuse settings whose certificate files cannot be loaded.

        The context is built only to load the files; ``server_context`` raises the error.
        """
        self.server_context()
        return self

    def server_context(self) -> ssl.SSLContext:
        """Load the files into the TLS context of a listener.

        With ``ca_file``, clients must show a certificate of that authority. TLS versions before 1.2
        are refused.

        Raises
        ------
        PydanticCustomError
            If a file is missing or is not PEM, or if key and certificate do not match.
        """
        # CLIENT_AUTH makes a context for a server, which by default asks for no certificate.
        context = ssl.create_default_context(ssl.Purpose.CLIENT_AUTH)
        context.minimum_version = ssl.TLSVersion.TLSv1_2
        try:
            context.load_cert_chain(self.certificate_file, self.key_file)
        except (OSError, ssl.SSLError) as error:
            _raise_tls_error(self.certificate_file, self.key_file, error)
        if self.ca_file is not None:
            try:
                context.load_verify_locations(self.ca_file)
            except (OSError, ssl.SSLError) as error:
                _raise_tls_error(self.ca_file, None, error)
            context.verify_mode = ssl.CERT_REQUIRED
        return context


class PeerTlsFiles(TlsFiles):
    """Certificate files for the connections between daemons.

    The certificate has the host's name as its DNS name (subject alternative name). Both sides of a
    connection present a certificate.
    """

    ca_file: SettingsPath = Field(description="Authority of the daemons' certificates.")


def _raise_tls_error(path: Path, key_path: Path | None, error: OSError) -> None:
    """Raise a validation error that names the files that could not be loaded, and the reason.

    The reason is the system's error text, or the text of the exception if it has none.

    Parameters
    ----------
    path
        Certificate file: the certificate chain, or the certificate of the authority.
    key_path
        Key file, or None if the certificate was loaded alone.
    error
        Exception of the ``ssl`` module.
    """
    files = str(path) if key_path is None else f"{path} and {key_path}"
    raise PydanticCustomError(
        TLS_ERROR_TYPE,
        "{files} cannot be used: {reason}; allowed are PEM files that belong together",
        {"files": files, "reason": error.strerror or str(error)},
    ) from error
