"""Configures the demonstration, sends requests through both entries and prints a summary."""

import json
import os
import secrets
import subprocess
import sys
import time
import urllib.error
import urllib.request
from collections.abc import Callable
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

READY_TIMEOUT_S = 30.0
CALL_TIMEOUT_S = 15.0
BILL_TIMEOUT_S = 5.0
ENTRIES = 2
BACKEND_SERVERS = 6


@dataclass(frozen=True)
class Answer:
    """Answer to an HTTP call."""

    status: int
    headers: dict[str, str]
    text: str


@dataclass
class Summary:
    """Steps of the demonstration and whether each went as it should."""

    lines: list[str] = field(default_factory=list)
    failed: bool = False

    def add(self, step: str, good: bool, found: str) -> None:
        """Record a step."""
        self.failed = self.failed or not good
        self.lines.append(f"  {'ok    ' if good else 'FAILED'}  {step}: {found}")


def operate(*arguments: str) -> Any:
    """Run an operator command and return its JSON answer."""
    command = [sys.executable, "-m", "baobabstream.cli.app", *arguments, "--json"]
    answer = subprocess.run(command, capture_output=True, text=True, check=False)
    if answer.returncode != 0:
        raise SystemExit(f"baobabstream {' '.join(arguments)}: {answer.stderr.strip()}")
    return json.loads(answer.stdout)


def call(url: str, key: str, body: dict[str, Any], headers: dict[str, str]) -> Answer:
    """Send a JSON body and return the answer, a refusal included."""
    all_headers = {"Authorization": f"Bearer {key}", "Content-Type": "application/json"} | headers
    request = urllib.request.Request(url, json.dumps(body).encode(), all_headers)
    try:
        with urllib.request.urlopen(request, timeout=CALL_TIMEOUT_S) as answer:
            return Answer(answer.status, dict(answer.headers), answer.read().decode())
    except urllib.error.HTTPError as error:
        return Answer(error.code, dict(error.headers), error.read().decode())


def ask(url: str, key: str, text: str, stream: bool = False, session: str = "") -> Answer:
    """Send a chat request."""
    body = {"model": "auto", "stream": stream, "max_tokens": 12}
    body["messages"] = [{"role": "user", "content": text}]
    headers = {"X-Session-Token": session} if session else {}
    return call(f"{url}/v1/chat/completions", key, body, headers)


def wait_for(what: str, ready: Callable[[], bool]) -> None:
    """Wait until something is ready."""
    deadline_s = time.monotonic() + READY_TIMEOUT_S
    while time.monotonic() < deadline_s:
        try:
            if ready():
                return
        except (urllib.error.URLError, ConnectionError):
            pass
        time.sleep(0.1)
    raise SystemExit(f"{what} did not become ready within {READY_TIMEOUT_S:.0f} s")


def cluster_is_complete() -> bool:
    """Return whether all entry hosts and backend servers are known to the control hosts."""
    request = urllib.request.Request(
        f"{os.environ['URL_1']}/admin/v1/status",
        headers={"Authorization": f"Bearer {os.environ['BAOBABSTREAM_OPERATOR_KEY']}"},
    )
    with urllib.request.urlopen(request, timeout=CALL_TIMEOUT_S) as answer:
        status = json.load(answer)
    return len(status["entries"]) == ENTRIES and len(status["backends"]) == BACKEND_SERVERS


def configure(key: str) -> None:
    """Create class, versions, route and client account through the command line."""
    operate("class", "set", "waiver-question", "--quality", "0.9", "--first-token-ms", "800",
            "--total-ms", "5000")  # fmt: skip
    for model, version, cost in (("small", "1", "0.2"), ("small", "2", "0.2"), ("large", "1", "2")):
        operate("version", "set", model, version, "--cost-per-1k-tokens", cost)
    operate("route", "set", "signatures", "--service", "waivers", "--path-prefix",
            "/waivers", "--method", "POST")  # fmt: skip
    os.environ["BAOBABSTREAM_ACCOUNT_KEY"] = key
    outcome = operate("account", "set", "dune-desk", "--model", "small", "--model", "large",
                      "--service", "waivers", "--default-class", "waiver-question",
                      "--wait", "20")  # fmt: skip
    print(f"configured; revision {outcome['revision']} is in force on every entry host")


def show_chat(entry: str, key: str, summary: Summary) -> str:
    """Send one streamed chat request and return its identity."""
    answer = ask(entry, key, "What does the waiver cover?", stream=True)
    events = [line.removeprefix("data: ") for line in answer.text.split("\n\n") if line]
    words = "".join(
        json.loads(event)["choices"][0]["delta"].get("content") or ""
        for event in events
        if event != "[DONE]"
    )
    whole = answer.status == 200 and events[-1:] == ["[DONE]"]
    version = answer.headers.get("X-Model-Version", "")
    summary.add("streamed chat request", whole, f"version {version} answered: {words.strip()!r}")
    return answer.headers["X-Request-Id"]


def show_session(entries: list[str], key: str, summary: Summary) -> None:
    """Send the calls of one session through different entry hosts."""
    answer = ask(entries[0], key, "Is the quad bike covered?", session="new")
    used = [(answer.headers.get("X-Model-Version"), json.loads(answer.text)["model"])]
    for number in range(1, 5):
        token = answer.headers["X-Session-Token"]
        answer = ask(entries[number % 2], key, f"And on day {number}?", session=token)
        used.append((answer.headers.get("X-Model-Version"), json.loads(answer.text)["model"]))
    summary.add("session of 5 calls over both entry hosts", len(set(used)) == 1,
                f"all on {used[0][1]}")  # fmt: skip


def show_signature(entries: list[str], key: str, summary: Summary) -> None:
    """Send one signature twice and count its runs on all servers of the service."""
    headers = {"Idempotency-Key": "signature-4711"}
    body = {"guest": "Abena", "waiver": 12}
    answers = [call(f"{entry}/waivers/sign", key, body, headers) for entry in entries]
    step = "one signature sent twice"
    if all(answer.status == 404 and not answer.text.startswith("{") for answer in answers):
        print(f"not shown: {step} (this build's entry daemon has no routes to plain services)")
        return
    runs = 0
    for port in (41, 42):
        url = f"http://127.0.0.1:{int(os.environ['BASE_PORT']) + port}/emulate/v1/runs"
        with urllib.request.urlopen(url, timeout=CALL_TIMEOUT_S) as answer:
            runs += json.load(answer).get("signature-4711", 0)
    statuses = [answer.status for answer in answers]
    summary.add(step, runs == 1 and statuses[0] == 200, f"answers {statuses}, it ran {runs} time")


def show_bill(request_id: str, summary: Summary) -> None:
    """Look for the bills of a request; the leader may get its copy a little later."""
    deadline_s = time.monotonic() + BILL_TIMEOUT_S
    bills: list[dict[str, Any]] = []
    while not bills and time.monotonic() < deadline_s:
        bills = [bill for bill in operate("bills") if bill["request_id"] == request_id]
    shown = ", ".join(f"{bill['output_tokens']} tokens cost {bill['cost']:.4f}" for bill in bills)
    summary.add("bill of the chat request", len(bills) == 1, f"{len(bills)} bill, {shown}")


def show_timeline(folder: Path, request_id: str, summary: Summary) -> None:
    """Explain the request from the timelines of all processes."""
    files = sorted(str(path) for path in (folder / "timeline").glob("*.jsonl"))
    lines = operate("explain", request_id, *files)["lines"]
    print(f"request {request_id}, from the timelines of {len(files)} processes:")
    for line in lines:
        print(f"  {line}")
    hosts = {line.split()[2] for line in lines[:-1]}
    good = any(host.startswith("engine") for host in hosts) and len(hosts) > 1
    summary.add("timeline of the chat request", good, f"{len(lines)} lines from {len(hosts)} hosts")


def main(folder: Path) -> None:
    """Run the demonstration."""
    started_s = time.monotonic()
    key = secrets.token_hex(16)
    summary = Summary()
    wait_for("the cluster", cluster_is_complete)
    print(f"3 control hosts, {ENTRIES} entry hosts and {BACKEND_SERVERS} backend servers run")
    configure(key)
    entries = os.environ["ENTRY_URLS"].split()
    for entry in entries:
        wait_for(entry, lambda url=entry: ask(url, key, "ready?").status == 200)
    request_id = show_chat(entries[0], key, summary)
    show_session(entries, key, summary)
    show_signature(entries, key, summary)
    show_bill(request_id, summary)
    show_timeline(folder, request_id, summary)
    print("summary:")
    print("\n".join(summary.lines))
    print(f"demo: {'FAILED' if summary.failed else 'passed'}"
          f" in {time.monotonic() - started_s:.0f} s")  # fmt: skip
    sys.exit(summary.failed)


if __name__ == "__main__":
    main(Path(sys.argv[1]))
