"""Tests the loading of settings files; errors name key and allowed values, but no secret."""

import re
import shutil
from pathlib import Path

import pytest
import trustme

from baobabstream.errors.codes import ResultCode
from baobabstream.errors.exceptions import SettingsError
from baobabstream.settings.load import load_settings
from baobabstream.settings.models import ControlSettings, EntrySettings

# Example settings, one folder for each deployment.
EXAMPLES = Path(__file__).parents[2] / "examples"
MODELS = {"entry": EntrySettings, "control": ControlSettings}
# Every secret of the test files; no error may contain it.
SECRET = "correct-horse-battery"
# Valid settings file of an entry daemon.
ENTRY_TEXT = f"""
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


def load_error(folder: Path, text: str) -> SettingsError:
    """Load an invalid settings file and return the error, which names the file and no secret."""
    path = folder / "entry.toml"
    path.write_text(text)
    with pytest.raises(SettingsError) as caught:
        load_settings(path, EntrySettings)
    assert str(path) in str(caught.value)
    assert SECRET not in str(caught.value)
    return caught.value


@pytest.fixture
def deployment(tmp_path):
    """Folder with a copy of the examples, and the secret and certificate files that they name."""
    shutil.copytree(EXAMPLES, tmp_path / "examples")
    authority = trustme.CA()
    certificate = authority.issue_cert("entry-1")
    for folder in (tmp_path / "examples").iterdir():
        (folder / "secrets").mkdir()
        for name in ("peer_secret", "session_secret", "backend_key"):
            _write_secret(folder / "secrets" / name)
        for operator in ("ama", "sigrid"):
            _write_secret(folder / "secrets" / f"operator_{operator}")
        (folder / "tls").mkdir()
        authority.cert_pem.write_to_path(folder / "tls" / "ca.pem")
        certificate.private_key_pem.write_to_path(folder / "tls" / "host.key")
        for pem in certificate.cert_chain_pems:
            pem.write_to_path(folder / "tls" / "host.pem", append=True)
    return tmp_path / "examples"


def _write_secret(path: Path) -> None:
    """Write a secret file that only its owner can read."""
    path.write_text(SECRET + "\n")
    path.chmod(0o600)


@pytest.mark.parametrize("role", ["entry", "control"])
@pytest.mark.parametrize("name", ["kokrobite", "slusefett"])
def test_examples_load(deployment, name, role):
    """Guards against examples that do not match the settings models."""
    settings = load_settings(deployment / name / f"{role}.toml", MODELS[role])
    assert settings.peer_secret.get_secret_value() == SECRET
    assert SECRET not in repr(settings)


def test_examples_with_invalid_files_are_refused(deployment):
    """Guards against invalid certificate and secret files that are noticed only at a first use."""
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
def test_error_names_key_value_and_what_is_allowed(tmp_path, old, new, expected):
    """Guards against errors without key or allowed values, and against printed secrets."""
    error = load_error(tmp_path, ENTRY_TEXT.replace(old, new, 1))
    assert error.code is ResultCode.SETTINGS_INVALID
    assert re.search(expected, str(error)), str(error)


def test_repeated_control_host_and_unreadable_file(tmp_path):
    """Guards against accepting a control host twice, and a file that is not TOML."""
    peer_table = ENTRY_TEXT[ENTRY_TEXT.index("[[control]]") :]
    assert "control-1 more than once" in str(load_error(tmp_path, ENTRY_TEXT + peer_table))
    assert load_error(tmp_path, "cluster = ").code is ResultCode.SETTINGS_UNREADABLE
