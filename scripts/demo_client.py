"""Configures the demonstration, sends requests through both entries and prints a summary."""

import json
import os
import secrets
import subprocess
import sys
import time
import urllib.error
import urllib.request
from pathlib import Path

from baobabstream.telemetry.merge import read_timelines

READY_TIMEOUT_S = 20.0


def operate(*arguments: str) -> dict:
    """Run an operator command and return its JSON answer."""
    command = [sys.executable, "-m", "baobabstream.cli.app", *arguments, "--json"]
    answer = subprocess.run(command, check=True, capture_output=True, text=True)
    return json.loads(answer.stdout)


def wait_until_serving(url: str, key: str) -> None:
    """Send requests until an entry serves one."""
    deadline_s = time.monotonic() + READY_TIMEOUT_S
    while time.monotonic() < deadline_s:
        try:
            ask(url, key, "ready?", stream=False)
            return
        except (urllib.error.URLError, ConnectionError):
            time.sleep(0.2)
    raise SystemExit(f"{url} did not become ready")


def ask(url: str, key: str, text: str, stream: bool) -> tuple[str, str, str]:
    """Send a chat request and return request identity, version and answer."""
    body = {"model": "auto", "stream": stream, "max_tokens": 12}
    body["messages"] = [{"role": "user", "content": text}]
    request = urllib.request.Request(
        f"{url}/v1/chat/completions",
        json.dumps(body).encode(),
        {"Authorization": f"Bearer {key}", "Content-Type": "application/json"},
    )
    with urllib.request.urlopen(request, timeout=10) as answer:
        headers = answer.headers
        return headers["X-Request-Id"], headers["X-Model-Version"], answer.read().decode()


def main(folder: Path) -> None:
    """Run the demonstration."""
    key = secrets.token_hex(16)
    deadline_s = time.monotonic() + READY_TIMEOUT_S
    while True:
        try:
            operate("status")
            break
        except subprocess.CalledProcessError:
            if time.monotonic() > deadline_s:
                raise
            time.sleep(0.2)
    operate("class", "set", "waiver-question", "--quality", "0.9", "--first-token-ms", "800",
            "--total-ms", "5000")  # fmt: skip
    operate("version", "set", "small", "1", "--cost-per-1k-tokens", "0.2")
    operate("version", "set", "large", "1", "--cost-per-1k-tokens", "2.0")
    operate("account", "set", "dune-desk", "--api-key", key, "--model", "small", "--model",
            "large", "--default-class", "waiver-question")  # fmt: skip
    entries = os.environ["ENTRY_URLS"].split()
    for url in entries:
        wait_until_serving(url, key)
    print("== A streamed answer through entry-1")
    request_id, version, answer = ask(entries[0], key, "What does the waiver cover?", stream=True)
    print(answer[:400] + "...")
    print(f"== Request {request_id} was served by version {version}; its events:")
    files = sorted((folder / "timeline").glob("*.jsonl"))
    for event in read_timelines(files):
        if event.request_id == request_id:
            print(f"  {event.time.wall_ms} {event.host:10} {event.kind.value:24} {event.detail}")
    bills = [bill for bill in operate("bills") if bill["request_id"] == request_id]
    print(f"== Bills of this request: {len(bills)}, {bills[0]['output_tokens']} output tokens")
    if len(bills) != 1:
        raise SystemExit("expected exactly one bill")
    print("demo: passed")


if __name__ == "__main__":
    main(Path(sys.argv[1]))
