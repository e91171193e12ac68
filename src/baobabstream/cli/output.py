"""Prints documents as tables for people or as JSON for programs.

A *document* is a JSON value: a list of *rows* or a single row. A row is an object, whose keys are
the columns of the table.
"""

import json
import sys
from collections.abc import Iterable, Mapping
from typing import Any

import typer
from rich.console import Console
from rich.table import Table

__all__ = ["print_document", "print_table", "print_progress", "format_cell"]

# Width of tables written to a file or a pipe, which has no terminal width.
PIPED_WIDTH_CHARS = 160


def print_document(document: Any, as_json: bool, title: str = "") -> None:
    """Print a document as JSON or as a table.

    Parameters
    ----------
    document
        List of rows, or one row.
    as_json
        Whether to print JSON.
    title
        Title of the table.
    """
    if as_json:
        typer.echo(json.dumps(document))
        return
    print_table(document if isinstance(document, list) else [document], title)


def print_table(rows: Iterable[Mapping[str, Any]], title: str = "") -> None:
    """Print rows as a table whose columns are the keys of the first row.

    Without rows, print that there is nothing to show.
    """
    rows = list(rows)
    if not rows:
        typer.echo(f"{title}: nothing to show" if title else "nothing to show")
        return
    table = Table(title=title or None, title_justify="left")
    for column in rows[0]:
        table.add_column(column.replace("_", " "), overflow="fold")
    for row in rows:
        table.add_row(*(format_cell(row.get(column)) for column in rows[0]))
    Console(width=None if sys.stdout.isatty() else PIPED_WIDTH_CHARS).print(table)


def print_progress(text: str) -> None:
    """Print a line about the progress on standard error, so that programs can parse the output."""
    typer.echo(text, err=True)


def format_cell(value: Any) -> str:
    """Return the text of a table cell for a JSON value.

    A model version, an object with just ``model`` and ``version``, becomes ``model@version``.
    """
    match value:
        case None:
            return ""
        case bool():
            return "yes" if value else "no"
        case float():
            # At most 6 significant digits.
            return f"{value:g}"
        case list():
            return ", ".join(format_cell(item) for item in value)
        case {"model": model, "version": version, **rest} if not rest:
            return f"{model}@{version}"
        case dict():
            return ", ".join(f"{key}={format_cell(item)}" for key, item in value.items())
    return str(value)
