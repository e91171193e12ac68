"""Options that all operator commands share, and the calls that they make."""

import asyncio
import inspect
import ssl
from collections.abc import Callable
from dataclasses import dataclass, field
from pathlib import Path
from typing import Annotated, Any, get_type_hints

import typer

from baobabstream.cli.admin_client import AdminClient, with_client
from baobabstream.cli.exit_codes import ExitCode
from baobabstream.cli.output import print_document, progress
from baobabstream.errors.codes import ResultCode
from baobabstream.errors.exceptions import SettingsError

__all__ = ["OperatorSession", "operator_command"]

IN_FORCE_POLL_S = 0.1
IN_FORCE_WAIT_S = 1

Urls = Annotated[
    list[str],
    typer.Option("--control-url", envvar="BAOBABSTREAM_CONTROL_URLS", help="Control hosts."),
]
Key = Annotated[
    str, typer.Option("--key", envvar="BAOBABSTREAM_OPERATOR_KEY", help="Operator key.")
]
CaFile = Annotated[
    Path | None,
    typer.Option("--ca-file", envvar="BAOBABSTREAM_CA_FILE", help="Authority of https hosts."),
]
AsJson = Annotated[bool, typer.Option("--json", help="Print JSON.")]
Base = Annotated[
    int | None,
    typer.Option("--base-revision", help="Revision the change is based on; default the present."),
]
Wait = Annotated[
    float, typer.Option("--wait", help="Seconds to wait until the change is in force.")
]


def _option(name: str, annotation: Any, default: Any = inspect.Parameter.empty):
    kind = inspect.Parameter.KEYWORD_ONLY
    return inspect.Parameter(name, kind, annotation=annotation, default=default)


_READ_OPTIONS = (
    _option("control_urls", Urls),
    _option("key", Key),
    _option("ca_file", CaFile, None),
    _option("as_json", AsJson, False),
)
_CHANGE_OPTIONS = (_option("base_revision", Base, None), _option("wait_s", Wait, 0.0))


@dataclass(frozen=True, slots=True)
class OperatorSession:
    """Shared options of one command."""

    control_urls: list[str]
    key: str = field(repr=False)
    ca_file: Path | None = None
    as_json: bool = False
    base_revision: int | None = None
    wait_s: float = 0.0

    def call(self, work) -> Any:
        """Run ``work`` with an admin client."""
        return with_client(self.control_urls, self.key, work, self._tls_context())

    def get(self, path: str) -> Any:
        """Return the answer of a read below ``/admin/v1``."""
        return self.call(lambda client: client.get(f"/admin/v1/{path}"))

    def show(self, document: Any, title: str = "") -> None:
        """Print a document."""
        print_document(document, self.as_json, title)

    def rows(self, row_type: str) -> list[dict[str, Any]]:
        """Return the configuration rows of a type, each with the revision of its last change."""
        entries = self.get("config")["rows"]
        found = (entry for entry in entries if entry["row"]["type"] == row_type)
        return [
            {key: value for key, value in entry["row"].items() if key != "type"}
            | {"revision": entry["revision"]}
            for entry in found
        ]

    def change(self, put: list[dict[str, Any]], delete: list[str] | None = None) -> None:
        """Send a change, wait until it is in force if asked to, and print the outcome."""
        self._finish(self.call(lambda client: client.change(put, delete, self.base_revision)))

    def act(self, path: str, fields: dict[str, Any], based: bool = True) -> None:
        """Send an action, such as ``rollouts/pause``, and print the outcome."""
        self._finish(self.call(lambda client: client.act(path, fields, self.base_revision, based)))

    def wait_in_force(self, revision: int, timeout_s: float) -> bool:
        """Wait until a revision is in force, with progress; return whether it is."""
        return self.call(lambda client: _wait_in_force(client, revision, timeout_s))

    def _finish(self, outcome: dict[str, Any]) -> None:
        in_force = True
        if self.wait_s > 0 and "revision" in outcome:
            in_force = self.wait_in_force(outcome["revision"], self.wait_s)
            outcome = outcome | {"in_force": in_force}
        self.show(outcome)
        if not in_force:
            raise typer.Exit(ExitCode.NOT_YET)

    def _tls_context(self) -> ssl.SSLContext | None:
        if self.ca_file is None:
            return None
        try:
            return ssl.create_default_context(cafile=str(self.ca_file))
        except OSError as error:
            detail = f"{self.ca_file}: {error}"
            raise SettingsError(ResultCode.TLS_FILES_INVALID, detail) from error


async def _wait_in_force(client: AdminClient, revision: int, timeout_s: float) -> bool:
    loop = asyncio.get_running_loop()
    started_s = loop.time()
    path = f"/admin/v1/in-force?revision={revision}&wait_s={IN_FORCE_WAIT_S}"
    while not (await client.get(path))["in_force"]:
        elapsed_s = loop.time() - started_s
        if elapsed_s >= timeout_s:
            return False
        status = await client.get("/admin/v1/status")
        applied = [entry["applied_revision"] >= revision for entry in status["entries"]]
        progress(
            f"revision {revision}: applied by {sum(applied)} of {len(applied)} entry hosts"
            f" after {elapsed_s:.1f} s"
        )
        await asyncio.sleep(IN_FORCE_POLL_S)
    progress(f"revision {revision}: in force after {loop.time() - started_s:.1f} s")
    return True


def operator_command(
    app: typer.Typer, name: str, changes: bool = False
) -> Callable[[Callable[..., None]], Callable[..., None]]:
    """Register a function as a command whose first parameter is an ``OperatorSession``.

    The shared options are added to the function's own ones.

    Parameters
    ----------
    app
        Where the command is registered.
    name
        Name of the command.
    changes
        Whether the command changes something and takes ``--base-revision`` and ``--wait``.
    """
    shared = _READ_OPTIONS + (_CHANGE_OPTIONS if changes else ())

    def register(function: Callable[..., None]) -> Callable[..., None]:
        def run(**values: Any) -> None:
            session = OperatorSession(**{item.name: values.pop(item.name) for item in shared})
            function(session, **values)

        hints = get_type_hints(function, include_extras=True)
        own = [
            item.replace(kind=inspect.Parameter.KEYWORD_ONLY, annotation=hints[item.name])
            for item in list(inspect.signature(function).parameters.values())[1:]
        ]
        parameters = (*own, *shared)
        run.__signature__ = inspect.Signature(parameters)  # type: ignore[attr-defined]
        run.__annotations__ = {item.name: item.annotation for item in parameters}
        app.command(name, help=function.__doc__)(run)
        return function

    return register
