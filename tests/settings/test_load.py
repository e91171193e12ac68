"""Settings files are refused with file, key, value and what is allowed, and without secrets."""

import re
import shutil
from pathlib import Path

import pytest
import trustme

from baobabstream.errors.codes import ResultCode
from baobabstream.errors.exceptions import SettingsError
from baobabstream.settings.load import load_settings
from baobabstream.settings.models import ControlSettings, EntrySettings

EXAMPLES = Path(__file__).parents[2] / "examples"
MODELS = {"entry": EntrySettings, "control": ControlSettings}
SECRET = "correct-horse-battery"
ENTRY = f"""
cluster = "c"
host = "entry-1"
availability_zone = "a"
peer_secret = "{SECRET}"
session_secret = "{SECRET}"
[listener]
port = 8080
[[control]]
host = "control-1"
availability_zone = "a"
port = 7101
http_port = 7102
"""


def refusal(folder: Path, text: str) -> SettingsError:
    path = folder / "entry.toml"
    path.write_text(text)
    with pytest.raises(SettingsError) as caught:
        load_settings(path, EntrySettings)
    assert str(path) in str(caught.value)
    assert SECRET not in str(caught.value)
    return caught.value


@pytest.fixture
def deployment(tmp_path):
    """Copy of the examples with secrets and certificates where they are expected."""
    shutil.copytree(EXAMPLES, tmp_path / "examples")
    authority = trustme.CA()
    certificate = authority.issue_cert("entry-1")
    for folder in (tmp_path / "examples").iterdir():
        (folder / "secrets").mkdir()
        for name in ("peer_secret", "session_secret", "backend_key"):
            _secret(folder / "secrets" / name)
        for operator in ("ama", "sigrid"):
            _secret(folder / "secrets" / f"operator_{operator}")
        (folder / "tls").mkdir()
        authority.cert_pem.write_to_path(folder / "tls" / "ca.pem")
        certificate.private_key_pem.write_to_path(folder / "tls" / "host.key")
        for blob in certificate.cert_chain_pems:
            blob.write_to_path(folder / "tls" / "host.pem", append=True)
    return tmp_path / "examples"


def _secret(path: Path) -> None:
    path.write_text(SECRET + "\n")
    path.chmod(0o600)


@pytest.mark.parametrize("role", ["entry", "control"])
@pytest.mark.parametrize("name", ["kokrobite", "slusefett"])
def test_examples_load(deployment, name, role):
    """Guards against examples that no longer match the settings."""
    settings = load_settings(deployment / name / f"{role}.toml", MODELS[role])
    assert settings.peer_secret.get_secret_value() == SECRET
    assert SECRET not in repr(settings)


def test_examples_need_their_files(deployment):
    """Guards against certificate and secret files that are only missed at the first call."""
    folder = deployment / "kokrobite"
    (folder / "tls" / "host.key").write_text("not a key")
    with pytest.raises(SettingsError) as caught:
        load_settings(folder / "entry.toml", EntrySettings)
    assert caught.value.code is ResultCode.TLS_FILES_INVALID
    (folder / "secrets" / "peer_secret").chmod(0o644)
    with pytest.raises(SettingsError, match="must not be open to other users"):
        load_settings(folder / "control.toml", ControlSettings)


@pytest.mark.parametrize(
    ("old", "new", "expected"),
    [
        ("port = 8080", "port = 80800", r"listener\.port: .*65535 \(got 80800\)"),
        ("port = 8080", "prt = 8080", r"listener\.prt: the key is not known; allowed are ip, port"),
        ("session_secret", "sesion_secret", r"sesion_secret: the key is not known; allowed"),
        ('cluster = "c"', "", r"cluster: the key is required"),
        ('cluster = "c"', 'cluster = "a b"', r"cluster: .*pattern.*\(got 'a b'\)"),
        (f'peer_secret = "{SECRET}"', 'peer_secret = "tooshort"', r"16 .*\(value not shown\)"),
        (f'peer_secret = "{SECRET}"', "peer_secret = 5", r"peer_secret: .*\(value not shown\)"),
        ('host = "control-1"', 'host = ""', r"control\.0\.host: .*at least 1"),
    ],
)
def test_refusal_names_key_value_and_what_is_allowed(tmp_path, old, new, expected):
    """Guards against refusals that leave the operator to guess, and against printed secrets."""
    error = refusal(tmp_path, ENTRY.replace(old, new, 1))
    assert error.code is ResultCode.SETTINGS_INVALID
    assert re.search(expected, str(error)), str(error)


def test_repeated_control_host_and_unreadable_file(tmp_path):
    """Guards against a host list that silently loses a host."""
    peer = ENTRY[ENTRY.index("[[control]]") :]
    assert "control-1 more than once" in str(refusal(tmp_path, ENTRY + peer))
    assert refusal(tmp_path, "cluster = ").code is ResultCode.SETTINGS_UNREADABLE
