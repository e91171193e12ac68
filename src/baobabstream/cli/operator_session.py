"""Options that all operator commands share, and the calls that the commands make.

*Control hosts* replicate the configuration and serve the administration API below ``/admin/v1``.
The configuration consists of *rows*, JSON objects with a type. The *revision* is the number of the
last change. A change is *in force* once every *entry host*, a host that accepts the requests of
callers, has applied its revision. A change names the *base revision* that the operator saw and is
refused if another change came later. An *action* is a request that changes something other than by
rows, such as to pause a rollout, the stepwise move of traffic to a new model version.
"""

import asyncio
import inspect
import ssl
from collections.abc import Callable
from dataclasses import dataclass, field
from pathlib import Path
from typing import Annotated, Any, get_type_hints

import typer

from baobabstream.cli.admin_client import AdminClient, run_with_client
from baobabstream.cli.exit_codes import ExitCode
from baobabstream.cli.output import print_document, print_progress
from baobabstream.errors.codes import ResultCode
from baobabstream.errors.exceptions import SettingsError

__all__ = ["OperatorSession", "operator_command"]

# Pause in seconds between two polls of whether a revision is in force.
IN_FORCE_POLL_S = 0.1
# Time in seconds that the control host waits for the revision before it answers a poll.
IN_FORCE_LONG_POLL_S = 1

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


def _keyword_parameter(name: str, annotation: Any, default: Any = inspect.Parameter.empty):
    """Return a keyword-only parameter, which Typer turns into the option of its annotation."""
    kind = inspect.Parameter.KEYWORD_ONLY
    return inspect.Parameter(name, kind, annotation=annotation, default=default)


# Options of all operator commands.
_READ_OPTIONS = (
    _keyword_parameter("control_urls", Urls),
    _keyword_parameter("key", Key),
    _keyword_parameter("ca_file", CaFile, None),
    _keyword_parameter("as_json", AsJson, False),
)
# Further options of commands that change something.
_CHANGE_OPTIONS = (
    _keyword_parameter("base_revision", Base, None),
    _keyword_parameter("wait_s", Wait, 0.0),
)


@dataclass(frozen=True, slots=True)
class OperatorSession:
    """Values of the shared options of one command, and the calls made with them.

    Attributes
    ----------
    control_urls
        Base URLs of the control hosts.
    key
        Key of the operator.
    ca_file
        Certificate authorities of https hosts; None for those of the system.
    as_json
        Whether the output is JSON instead of tables.
    base_revision
        Revision that a change is based on; None for the present one.
    wait_s
        Longest time in seconds to wait until a change is in force; 0 not to wait.
    """

    control_urls: list[str]
    key: str = field(repr=False)
    ca_file: Path | None = None
    as_json: bool = False
    base_revision: int | None = None
    wait_s: float = 0.0

    def call(self, work) -> Any:
        """Run the coroutine function ``work`` with a client of the control hosts."""
        return run_with_client(self.control_urls, self.key, work, self._tls_context())

    def get(self, path: str) -> Any:
        """Return the JSON document at a path below ``/admin/v1/``."""
        return self.call(lambda client: client.get(f"/admin/v1/{path}"))

    def show(self, document: Any, title: str = "") -> None:
        """Print a document as JSON or as a table with a title, as the options say."""
        print_document(document, self.as_json, title)

    def rows(self, row_type: str) -> list[dict[str, Any]]:
        """Return the configuration rows of a type.

        Each row has the revision of its last change in place of its type. The control host returns
        under ``rows`` objects with ``row`` and ``revision``.
        """
        stored_rows = self.get("config")["rows"]
        matching_rows = (stored for stored in stored_rows if stored["row"]["type"] == row_type)
        return [
            {key: value for key, value in stored["row"].items() if key != "type"}
            | {"revision": stored["revision"]}
            for stored in matching_rows
        ]

    def change(self, put: list[dict[str, Any]], delete: list[str] | None = None) -> None:
        """Change the configuration, wait until the change is in force if requested, and print it.

        Parameters
        ----------
        put
            Rows that are created or replaced.
        delete
            Keys of the rows that are deleted, such as ``class/batch``.

        Raises
        ------
        typer.Exit
            The change is not in force after the waiting time.
        """
        self._wait_and_show(
            self.call(lambda client: client.change(put, delete, self.base_revision))
        )

    def send_action(
        self, path: str, fields: dict[str, Any], has_base_revision: bool = True
    ) -> None:
        """Send an action, wait until it is in force if requested, and print the outcome.

        Parameters
        ----------
        path
            Path of the action below ``/admin/v1/``, such as ``rollouts/pause``.
        fields
            Fields of the JSON body.
        has_base_revision
            Whether the action takes a base revision.

        Raises
        ------
        typer.Exit
            The action is not in force after the waiting time.
        """
        self._wait_and_show(
            self.call(
                lambda client: client.send_action(
                    path, fields, self.base_revision, has_base_revision
                )
            )
        )

    def wait_in_force(self, revision: int, timeout_s: float) -> bool:
        """Wait at most ``timeout_s`` seconds and return whether a revision is in force.

        The progress is printed on standard error.
        """
        return self.call(lambda client: _wait_in_force(client, revision, timeout_s))

    def _wait_and_show(self, outcome: dict[str, Any]) -> None:
        """Wait until a change is in force, if requested, and print its outcome.

        Parameters
        ----------
        outcome
            JSON response to the change; ``revision`` is its revision, if it has one.

        Raises
        ------
        typer.Exit
            The change is not in force after the waiting time.
        """
        in_force = True
        if self.wait_s > 0 and "revision" in outcome:
            in_force = self.wait_in_force(outcome["revision"], self.wait_s)
            outcome = outcome | {"in_force": in_force}
        self.show(outcome)
        if not in_force:
            raise typer.Exit(ExitCode.NOT_YET)

    def _tls_context(self) -> ssl.SSLContext | None:
        """Return a TLS context that trusts the authorities in ``ca_file``, None without a file.

        Raises
        ------
        SettingsError
            ``TLS_FILES_INVALID`` if the file cannot be read.
        """
        if self.ca_file is None:
            return None
        try:
            return ssl.create_default_context(cafile=str(self.ca_file))
        except OSError as error:
            detail = f"{self.ca_file}: {error}"
            raise SettingsError(ResultCode.TLS_FILES_INVALID, detail) from error


async def _wait_in_force(client: AdminClient, revision: int, timeout_s: float) -> bool:
    """Poll until a revision is in force, and print how many entry hosts have applied it.

    Returns False if it is not in force after ``timeout_s`` seconds. The response to a poll contains
    ``in_force``, a boolean; the status contains ``entries``, one object for each entry host with
    the revision that it has applied, ``applied_revision``.
    """
    loop = asyncio.get_running_loop()
    started_s = loop.time()
    path = f"/admin/v1/in-force?revision={revision}&wait_s={IN_FORCE_LONG_POLL_S}"
    while not (await client.get(path))["in_force"]:
        elapsed_s = loop.time() - started_s
        if elapsed_s >= timeout_s:
            return False
        status = await client.get("/admin/v1/status")
        has_applied = [host["applied_revision"] >= revision for host in status["entries"]]
        print_progress(
            f"revision {revision}: applied by {sum(has_applied)} of {len(has_applied)} entry hosts"
            f" after {elapsed_s:.1f} s"
        )
        await asyncio.sleep(IN_FORCE_POLL_S)
    print_progress(f"revision {revision}: in force after {loop.time() - started_s:.1f} s")
    return True


def operator_command(
    app: typer.Typer, name: str, changes: bool = False
) -> Callable[[Callable[..., None]], Callable[..., None]]:
    """Register a function as a command whose first parameter is an ``OperatorSession``.

    The options of the command are those of the function and the shared ones. The function's
    docstring is the help text.

    Parameters
    ----------
    app
        Group of commands that the command belongs to.
    name
        Name of the command on the command line.
    changes
        Whether the command changes something, so that it takes ``--base-revision`` and ``--wait``.
    """
    shared_parameters = _READ_OPTIONS + (_CHANGE_OPTIONS if changes else ())

    def register(function: Callable[..., None]) -> Callable[..., None]:
        def run_command(**option_values: Any) -> None:
            """Call the function with a session made of the values of the shared options."""
            session = OperatorSession(
                **{
                    parameter.name: option_values.pop(parameter.name)
                    for parameter in shared_parameters
                }
            )
            function(session, **option_values)

        hints = get_type_hints(function, include_extras=True)
        own_parameters = [
            parameter.replace(kind=inspect.Parameter.KEYWORD_ONLY, annotation=hints[parameter.name])
            # Without the first parameter, the session.
            for parameter in list(inspect.signature(function).parameters.values())[1:]
        ]
        parameters = (*own_parameters, *shared_parameters)
        # Typer reads the parameters of a command from its signature and annotations.
        run_command.__signature__ = inspect.Signature(parameters)  # type: ignore[attr-defined]
        run_command.__annotations__ = {
            parameter.name: parameter.annotation for parameter in parameters
        }
        app.command(name, help=function.__doc__)(run_command)
        return function

    return register
