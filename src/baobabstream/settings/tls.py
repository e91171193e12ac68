"""Certificate files and the TLS contexts made from them."""

import ssl
from pathlib import Path
from typing import Self

from pydantic import BaseModel, ConfigDict, Field, model_validator
from pydantic_core import PydanticCustomError

from baobabstream.settings.paths import SettingsPath

__all__ = ["TLS_ERROR_TYPE", "PeerTlsFiles", "TlsFiles"]

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
        self.server_context()
        return self

    def server_context(self) -> ssl.SSLContext:
        """Return the context of a TLS listener.

        Raises
        ------
        PydanticCustomError
            If a file is missing, is not PEM, or key and certificate do not belong together.
        """
        context = ssl.create_default_context(ssl.Purpose.CLIENT_AUTH)
        context.minimum_version = ssl.TLSVersion.TLSv1_2
        try:
            context.load_cert_chain(self.certificate_file, self.key_file)
        except (OSError, ssl.SSLError) as error:
            _refuse(self.certificate_file, self.key_file, error)
        if self.ca_file is not None:
            try:
                context.load_verify_locations(self.ca_file)
            except (OSError, ssl.SSLError) as error:
                _refuse(self.ca_file, None, error)
            context.verify_mode = ssl.CERT_REQUIRED
        return context


class PeerTlsFiles(TlsFiles):
    """Certificate files for the connections between daemons.

    The certificate carries the host's name as a DNS name; both sides show one.
    """

    ca_file: SettingsPath = Field(description="Authority of the daemons' certificates.")


def _refuse(path: Path, key_path: Path | None, error: OSError) -> None:
    files = str(path) if key_path is None else f"{path} and {key_path}"
    raise PydanticCustomError(
        TLS_ERROR_TYPE,
        "{files} cannot be used: {reason}; allowed are PEM files that belong together",
        {"files": files, "reason": error.strerror or str(error)},
    ) from error
