"""Writes the settings, keys and certificates of a control and an entry daemon that use TLS."""

from collections.abc import Sequence
from pathlib import Path

import trustme

__all__ = ["OPERATOR_KEY", "write_daemon_files"]

OPERATOR_KEY = "correct-horse-battery"
# Settings of both daemons; `ports` are the peer and HTTP port of the control daemon and the port of
# the entry daemon.
COMMON_SETTINGS = """
cluster = "c"
host = "{host}"
availability_zone = "a"
peer_secret = "correct-horse-battery"
{extra}
[peer_tls]
certificate_file = "{host}.pem"
key_file = "{host}.key"
ca_file = "ca.pem"
[{listener}tls]
certificate_file = "{host}.pem"
key_file = "{host}.key"
[[control]]
host = "control-1"
availability_zone = "a"
port = {ports[0]}
http_port = {ports[1]}
"""
CONTROL_SETTINGS = """
data_folder = "data"
backend_key = "correct-horse-battery"
operator_keys = { ama = "correct-horse-battery" }
"""
ENTRY_SETTINGS = """
session_secret = "correct-horse-battery"
drain_notice_s = 0.0
listener.port = {ports[2]}
"""


def write_daemon_files(folder: Path, ports: Sequence[int], limits: str = "") -> trustme.CA:
    """Write settings, keys and certificates of both daemons; return their certificate authority.

    Parameters
    ----------
    folder
        Folder for the files.
    ports
        Peer and HTTP port of the control daemon, and port of the entry daemon.
    limits
        Lines with further settings of both daemons.
    """
    authority = trustme.CA()
    authority.cert_pem.write_to_path(folder / "ca.pem")
    for host in ("control-1", "entry-1"):
        certificate = authority.issue_cert(host, "127.0.0.1")
        certificate.private_key_pem.write_to_path(folder / f"{host}.key")
        certificate.cert_chain_pems[0].write_to_path(folder / f"{host}.pem")
    control_settings = COMMON_SETTINGS.format(
        host="control-1", extra=limits + CONTROL_SETTINGS, listener="admin_", ports=ports
    )
    entry_settings = ENTRY_SETTINGS.format(ports=ports)
    entry_settings = COMMON_SETTINGS.format(
        host="entry-1", extra=limits + entry_settings, listener="listener.", ports=ports
    )
    (folder / "control.toml").write_text(control_settings)
    (folder / "entry.toml").write_text(entry_settings)
    return authority
