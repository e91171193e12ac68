"""Writes the reference pages under docs that follow from the code."""

import types
from collections.abc import Iterable
from enum import Enum
from pathlib import Path
from typing import Any, Literal, Union, get_args, get_origin

import click
import typer.main
from annotated_types import Ge, Gt, Le
from pydantic import BaseModel, SecretStr

from baobabstream.cli.app import app
from baobabstream.cli.exit_codes import EXIT_MEANINGS
from baobabstream.errors.codes import CODE_TABLE
from baobabstream.settings.models import ControlSettings, EntrySettings
from baobabstream.telemetry.instruments import INSTRUMENTS

DOCS = Path(__file__).resolve().parent.parent / "docs"
NOTE = "This page is written by `scripts/write_pages.py`; a test compares it with the code."


def table(columns: Iterable[str], rows: Iterable[Iterable[Any]]) -> str:
    """Return a Markdown table."""
    columns = list(columns)
    lines = [columns, ["---"] * len(columns), *rows]
    return "\n".join("| " + " | ".join(str(cell) for cell in line) + " |" for line in lines)


def result_codes() -> str:
    """Return the page of result codes."""
    rows = (
        (int(row.code), row.code.name, row.http_status, row.run_state.value,
         "yes" if row.retryable else "no", row.summary)
        for row in CODE_TABLE.values()
    )  # fmt: skip
    return f"""# Result codes

Every refusal carries a numbered code. `ran` says whether the request has run: `no` is a promise,
`unknown` means that it may have. `again` says whether the same request may be sent again and may
then succeed; where a time is known, `Retry-After` and `retry_after_s` give it. 1xxx codes answer
callers, 2xxx operators, 3xxx backend servers, 4xxx other daemons, 5xxx are storage faults, 6xxx
concern settings. Numbers are never reused.

{NOTE}

{table(("code", "name", "HTTP status", "ran", "again", "meaning"), rows)}
"""


def metrics() -> str:
    """Return the page of metrics."""
    rows = (
        (f"`{item.name}`", item.kind.value, f"`{item.unit}`", ", ".join(item.roles),
         ", ".join(item.attributes), item.summary)
        for item in INSTRUMENTS.values()
    )  # fmt: skip
    return f"""# Metrics

A daemon with `metrics_port` in its settings serves these OpenTelemetry metrics in the Prometheus
format. The exporter replaces dots by underscores and adds the unit and `_total` to the name. The
kinds of the counter `baobabstream.events` are those of the event timeline. Routes are patterns, not
paths, so that callers cannot add series.

{NOTE}

{table(("name", "kind", "unit", "daemon", "attributes", "what it measures"), rows)}
"""


def settings_page() -> str:
    """Return the page of settings."""
    return f"""# Settings

Each daemon reads one TOML file: `baobabstream entry --settings FILE` and `baobabstream control
--settings FILE`. `baobabstream check-settings --role entry|control FILE` checks a file and the
files it names, and starts nothing. Every error names the file, the key, the value and what is
allowed; keys that are not known are errors. Relative paths are relative to the folder of the file.

A secret is a text of 16 to 256 characters, or `{{ file = "PATH" }}` for a file that other users
cannot open. Secrets are never printed. Annotated examples for both deployments lie under
`examples/`. A changed file is read at the next start. On the users' platform the settings file is
the platform's own; [platform](platform.md#settings) lists the fields that are used.

{NOTE}

## Entry daemon

{table(SETTING_COLUMNS, setting_rows(EntrySettings))}

## Control daemon

{table(SETTING_COLUMNS, setting_rows(ControlSettings))}
"""


SETTING_COLUMNS = ("key", "value", "default", "meaning")


def setting_rows(model: type[BaseModel], prefix: str = "") -> list[tuple[str, str, str, str]]:
    """Return one row for each key of a settings model, tables included."""
    rows = []
    for name, field in model.model_fields.items():
        inner = inner_model(field.annotation)
        is_list = list in (field.annotation, get_origin(field.annotation))
        value = "list of tables" if is_list else "table"
        if inner is None:
            value = value_text(field.annotation, field.metadata)
        default = "required" if field.is_required() else default_text(field)
        rows.append((f"`{prefix}{name}`", value, default, field.description or ""))
        if inner is not None:
            rows += setting_rows(inner, f"{prefix}{name}{'[]' if is_list else ''}.")
    return rows


def inner_model(annotation: Any) -> type[BaseModel] | None:
    """Return the settings model inside an annotation, if any."""
    if isinstance(annotation, type) and issubclass(annotation, BaseModel):
        return annotation
    models = (inner_model(item) for item in get_args(annotation))
    return next((model for model in models if model is not None), None)


def value_text(annotation: Any, metadata: Iterable[Any] = ()) -> str:
    """Return the kind of a value and its limits."""
    origin = get_origin(annotation)
    if origin in (Union, types.UnionType):
        first = next(item for item in get_args(annotation) if item is not type(None))
        return value_text(first, metadata)
    if origin is Literal:
        return " or ".join(f"`{item}`" for item in get_args(annotation))
    if hasattr(annotation, "__metadata__"):
        return value_text(annotation.__origin__, (*annotation.__metadata__, *metadata))
    if origin is dict:
        return "table of " + value_text(get_args(annotation)[1])
    names = {str: "text", int: "integer", float: "number", bool: "true or false",
             Path: "path", SecretStr: "secret"}  # fmt: skip
    limits = [text for item in flatten(metadata) if (text := limit_text(item))]
    kind = names.get(annotation, str(annotation))
    return kind if annotation in (str, SecretStr) or not limits else f"{kind}, {', '.join(limits)}"


def flatten(metadata: Iterable[Any]) -> Iterable[Any]:
    """Return the limits inside pydantic field descriptions."""
    for item in metadata:
        yield from getattr(item, "metadata", None) or (item,)


def limit_text(item: Any) -> str:
    """Return one limit in words."""
    match item:
        case Ge():
            return f"from {item.ge}"
        case Gt():
            return f"over {item.gt}"
        case Le():
            return f"to {item.le}"
    return ""


def default_text(field: Any) -> str:
    """Return the default of a key."""
    value = field.get_default(call_default_factory=True)
    if value is None or isinstance(value, BaseModel):
        return "none" if value is None else ""
    if isinstance(value, Enum):
        value = value.value
    return f"`{str(value).lower() if isinstance(value, bool) else value}`"


def command_line() -> str:
    """Return the page of the command line."""
    root = typer.main.get_command(app)
    commands = "\n".join(command_text(["baobabstream"], root))
    codes = table(
        ("exit code", "name", "meaning"),
        ((int(code), code.name, meaning) for code, meaning in EXIT_MEANINGS.items()),
    )
    return f"""# Command line

`baobabstream COMMAND --help` shows a command's options. Operator commands find the control hosts in
`--control-url` or `BAOBABSTREAM_CONTROL_URLS` (separated by spaces), the operator's key in `--key`
or `BAOBABSTREAM_OPERATOR_KEY`, and the authority of https control hosts in `--ca-file` or
`BAOBABSTREAM_CA_FILE`. Keys in the environment do not show in process lists. Any control host will
do: one that does not lead forwards the call.

Output is a table, or JSON with `--json`; progress goes to standard error. A change is based on the
present revision, or on `--base-revision`; of two changes based on one revision, one is accepted and
the other ends with exit code 5. A change whose answer is lost is sent again with the same identity
and applies once. `--wait SECONDS` waits until the change is in force on every entry host.

{NOTE}

## Exit codes

{codes}

## Commands

{commands}
"""


def command_text(path: list[str], command: Any) -> list[str]:
    """Return the lines that describe a command and those below it."""
    if hasattr(command, "commands"):
        return [
            line
            for name, item in sorted(command.commands.items())
            for line in command_text([*path, name], item)
        ]
    parameters = [item for item in command.params if item.name != "help"]
    arguments = "".join(
        f" {item.name.upper()}" for item in parameters if item.param_type_name == "argument"
    )
    options = ", ".join(
        f"`{max(item.opts, key=len)}`" for item in parameters if item.param_type_name == "option"
    )
    summary = click.formatting.wrap_text(command.help or "", 10_000)
    return [f"### `{' '.join(path)}{arguments}`", "", summary, "", f"Options: {options}.", ""]


PAGES = {
    "result-codes.md": result_codes,
    "metrics.md": metrics,
    "settings.md": settings_page,
    "command-line.md": command_line,
}


def main() -> None:
    """Write all pages."""
    for name, page in PAGES.items():
        (DOCS / name).write_text(page(), encoding="utf-8")


if __name__ == "__main__":
    main()
