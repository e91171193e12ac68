"""Writes settings files for the demonstration on free ports."""

import secrets
import socket
import sys
from contextlib import ExitStack
from pathlib import Path

PORT_COUNT = 60


def free_port_block() -> int:
    """Return the first of a block of consecutive free ports.

    The blocks are tried in random order: the ports are released before the daemons bind them, so
    two demonstrations that start at once would otherwise take the same block.
    """
    bases = list(range(21000, 32000, PORT_COUNT))
    secrets.SystemRandom().shuffle(bases)
    for base in bases:
        with ExitStack() as stack:
            try:
                for port in range(base, base + PORT_COUNT):
                    stack.enter_context(socket.socket()).bind(("127.0.0.1", port))
            except OSError:
                continue
            return base
    raise SystemExit("no block of free ports")


def main(folder: Path) -> None:
    """Write one TOML file for each daemon and the environment of the client."""
    base = free_port_block()
    peer_secret, session_secret, operator, backend = (secrets.token_hex(16) for _ in range(4))
    peers = "".join(
        f'[[control]]\nhost = "control-{n}"\navailability_zone = "zone-{n}"\n'
        f"port = {base + n}\nhttp_port = {base + 10 + n}\n"
        for n in (1, 2, 3)
    )
    for n in (1, 2, 3):
        text = (
            f'cluster = "demo"\nhost = "control-{n}"\navailability_zone = "zone-{n}"\n'
            f'peer_secret = "{peer_secret}"\nbackend_key = "{backend}"\n'
            f'data_folder = "{folder}/data-{n}"\n'
            f'timeline_file = "{folder}/timeline/control-{n}.jsonl"\n'
            f'[operator_keys]\ndemo = "{operator}"\n{peers}'
        )
        (folder / f"control-{n}.toml").write_text(text)
    for n in (1, 2):
        text = (
            f'cluster = "demo"\nhost = "entry-{n}"\navailability_zone = "zone-{n}"\n'
            f'peer_secret = "{peer_secret}"\nsession_secret = "{session_secret}"\n'
            f'drain_notice_s = 0.5\nrating_url = "http://127.0.0.1:{base + 50}"\n'
            f'timeline_file = "{folder}/timeline/entry-{n}.jsonl"\n'
            f"[listener]\nport = {base + 20 + n}\n{peers}"
        )
        (folder / f"entry-{n}.toml").write_text(text)
    urls = [f"http://127.0.0.1:{base + 10 + n}" for n in (1, 2, 3)]
    entries = [f"http://127.0.0.1:{base + 20 + n}" for n in (1, 2)]
    lines = [
        f"export BASE_PORT={base}",
        *(f"export URL_{n}={url}" for n, url in enumerate(urls, 1)),
        f'export BAOBABSTREAM_CONTROL_URLS="{" ".join(urls)}"',
        f'export ENTRY_URLS="{" ".join(entries)}"',
        f"export BAOBABSTREAM_OPERATOR_KEY={operator}",
        f"export BAOBABSTREAM_BACKEND_KEY={backend}",
    ]
    (folder / "environment").write_text("\n".join(lines) + "\n")


if __name__ == "__main__":
    main(Path(sys.argv[1]))
