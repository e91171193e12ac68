"""Prints documents as tables for people or as JSON for programs."""

import json
import sys
from collections.abc import Iterable, Mapping
from typing import Any

import typer
from rich.console import Console
from rich.table import Table

__all__ = ["print_document", "print_table", "progress", "short"]

# Width of tables that go to a file or a pipe, where there is no terminal to measure.
PIPED_WIDTH_CHARS = 160


def print_document(document: Any, as_json: bool, title: str = "") -> None:
    """Print a list of rows or one row."""
    if as_json:
        typer.echo(json.dumps(document))
        return
    print_table(document if isinstance(document, list) else [document], title)


def print_table(rows: Iterable[Mapping[str, Any]], title: str = "") -> None:
    """Print rows as a table whose columns are the keys of the first row."""
    rows = list(rows)
    if not rows:
        typer.echo(f"{title}: nothing to show" if title else "nothing to show")
        return
    table = Table(title=title or None, title_justify="left")
    for column in rows[0]:
        table.add_column(column.replace("_", " "), overflow="fold")
    for row in rows:
        table.add_row(*(short(row.get(column)) for column in rows[0]))
    Console(width=None if sys.stdout.isatty() else PIPED_WIDTH_CHARS).print(table)


def progress(text: str) -> None:
    """Print one line of progress on standard error, so that output stays parsable."""
    typer.echo(text, err=True)


def short(value: Any) -> str:
    """Return a value as the text of a table cell."""
    match value:
        case None:
            return ""
        case bool():
            return "yes" if value else "no"
        case float():
            return f"{value:g}"
        case list():
            return ", ".join(short(item) for item in value)
        case {"model": model, "version": version, **rest} if not rest:
            return f"{model}@{version}"
        case dict():
            return ", ".join(f"{key}={short(item)}" for key, item in value.items())
    return str(value)
