"""Command-line interface of lycheestair."""

from collections.abc import Callable
import contextlib
import dataclasses
import importlib
import importlib.metadata
import io
import sys
from typing import Any
from typing import Final

import fire
from fire import core

from lycheestair import actions
from lycheestair import ids
from lycheestair import operator_client
from lycheestair import status_text
from lycheestair import tls

PROGRAM: Final = "lycheestair"
BENCHMARKS: Final = ("convergence", "requests", "moves", "keys", "faults")
DEPLOYMENTS: Final = ("zecca", "vakharia")


@dataclasses.dataclass(frozen=True)
class Command:
    """A parsed command that has not run yet.

    Fire rejects surplus arguments only after it has called the method, so the
    methods return a command instead of running it. Otherwise a note would be
    applied before the usage error is reported.
    """

    action: Callable[[], int]


class NoteCommands:
    """Check, apply and list release notes."""

    def check(
        self,
        file: str,
        node: str = "",
        settings: str = "",
        credentials: str = "",
    ) -> Command:
        """Validates a note without applying it.

        With a node, the note is compiled against the current configuration.
        Without a node, only the syntax and fields of the file are checked.

        Args:
          file: TOML file of the note.
          node: Address IP:PORT of a node's control listener.
          settings: Settings file that provides the node's address and TLS
            files, instead of --node.
          credentials: Path prefix DIR/NAME of a certificate and its key, as
            created by `keys make`.
        """
        return Command(
            lambda: actions.check_note(
                str(file), actions.NodeTarget(node, settings, credentials)
            )
        )

    def apply(
        self,
        file: str,
        node: str = "",
        settings: str = "",
        credentials: str = "",
    ) -> Command:
        """Applies a note. Applying the same note again has no effect.

        Args:
          file: TOML file of the note.
          node: Address IP:PORT of a node's control listener.
          settings: Settings file that provides the node's address and TLS
            files, instead of --node.
          credentials: Path prefix DIR/NAME of a certificate and its key, as
            created by `keys make`.
        """
        return Command(
            lambda: actions.apply_note(
                str(file), actions.NodeTarget(node, settings, credentials)
            )
        )

    def history(
        self,
        node: str = "",
        settings: str = "",
        credentials: str = "",
        limit: int = 0,
        json: bool = False,
    ) -> Command:
        """Lists accepted notes, newest first.

        Args:
          node: Address IP:PORT of a node's control listener.
          settings: Settings file that provides the node's address and TLS
            files, instead of --node.
          credentials: Path prefix DIR/NAME of a certificate and its key, as
            created by `keys make`.
          limit: Maximum number of notes, 0 for the limit of the node.
          json: Prints JSON, which includes the text of each note.
        """

        def run() -> int:
            reply = actions.connect(
                actions.NodeTarget(node, settings, credentials)
            ).list_notes(actions.validate_limit(limit))
            return actions.print_reply(
                reply, status_text.format_history(reply), json
            )

        return Command(run)


class SuspectCommands:
    """List and clear requests suspected of crashing backend servers."""

    def list(
        self,
        node: str = "",
        settings: str = "",
        credentials: str = "",
        json: bool = False,
    ) -> Command:
        """Lists the suspected requests.

        Args:
          node: Address IP:PORT of a node's control listener.
          settings: Settings file that provides the node's address and TLS
            files, instead of --node.
          credentials: Path prefix DIR/NAME of a certificate and its key, as
            created by `keys make`.
          json: Prints JSON.
        """

        def run() -> int:
            reply = actions.connect(
                actions.NodeTarget(node, settings, credentials)
            ).list_suspects()
            return actions.print_reply(
                reply, status_text.format_suspects(reply), json
            )

        return Command(run)

    def release(
        self,
        fingerprint: str,
        node: str = "",
        settings: str = "",
        credentials: str = "",
    ) -> Command:
        """Clears a suspected request, so that it is no longer rejected.

        Args:
          fingerprint: Fingerprint of the request, as printed by `list`.
          node: Address IP:PORT of a node's control listener.
          settings: Settings file that provides the node's address and TLS
            files, instead of --node.
          credentials: Path prefix DIR/NAME of a certificate and its key, as
            created by `keys make`.
        """

        def run() -> int:
            fingerprint_text = str(fingerprint)
            if (
                not actions.connect(
                    actions.NodeTarget(node, settings, credentials)
                )
                .release_suspect(fingerprint_text)
                .found
            ):
                raise actions.CommandError(
                    actions.ExitCode.NOT_FOUND,
                    f"no suspect has fingerprint {fingerprint_text!r}",
                )
            print(f"{fingerprint_text}: released")
            return actions.ExitCode.OK

        return Command(run)


class SettingsCommands:
    """Validate settings files."""

    def check(self, file: str) -> Command:
        """Validates a settings file and reports every invalid key.

        Args:
          file: Path of the TOML settings file.
        """

        def run() -> int:
            node_settings = actions.load_settings(str(file))
            print(f"{file}: settings of node {node_settings.node.id} are valid")
            return actions.ExitCode.OK

        return Command(run)


class KeyCommands:
    """Create certificates for tests and small deployments."""

    def make(
        self,
        out: str,
        nodes: str = "node",
        operators: str = "operator",
        days: int = 365,
    ) -> Command:
        """Creates a certificate authority and certificates signed by it.

        If the directory already holds an authority, it signs the further
        certificates. Existing files are never overwritten.

        Args:
          out: Output directory for NAME.pem and NAME-key.pem of each name.
          nodes: Comma-separated names of nodes.
          operators: Comma-separated names of operators.
          days: Days for which the certificates are valid.
        """
        return Command(
            lambda: actions.make_keys(str(out), nodes, operators, days)
        )


class Commands:
    """Distributes service-mesh configuration by release notes.

    Exit codes: 0 success, 1 invalid note, settings or certificate files, 2
    usage error, 3 conflict with a note that was accepted first, 4 node or
    store unavailable, 5 permission denied, 6 not found.
    """

    def __init__(self) -> None:
        self.keys = KeyCommands()
        self.note = NoteCommands()
        self.suspects = SuspectCommands()
        self.settings = SettingsCommands()

    def node(self, settings: str) -> Command:
        """Runs a node until it receives SIGTERM or SIGINT.

        Args:
          settings: Path of the TOML settings file.
        """

        def run() -> int:
            node_settings = actions.load_settings(str(settings))
            return int(actions.import_module("node").run(node_settings))

        return Command(run)

    def status(
        self,
        node: str = "",
        settings: str = "",
        credentials: str = "",
        move: str = "",
        limit: int = 0,
        json: bool = False,
    ) -> Command:
        """Shows notes, nodes, endpoints and moves as seen by one node.

        Args:
          node: Address IP:PORT of a node's control listener.
          settings: Settings file that provides the node's address and TLS
            files, instead of --node.
          credentials: Path prefix DIR/NAME of a certificate and its key, as
            created by `keys make`.
          move: Id of a move; shows only this move.
          limit: Maximum entries of each list, 0 for the limit of the node.
          json: Prints JSON.
        """

        def run() -> int:
            client = actions.connect(
                actions.NodeTarget(node, settings, credentials)
            )
            if move != "":
                move_status = client.read_move(ids.MoveId(str(move)))
                return actions.print_reply(
                    move_status, [status_text.format_move(move_status)], json
                )
            reply = client.read_status(actions.validate_limit(limit))
            return actions.print_reply(
                reply, status_text.format_status(reply), json
            )

        return Command(run)

    def explain(
        self,
        url: str,
        method: str = "GET",
        headers: str = "",
        node: str = "",
        settings: str = "",
        credentials: str = "",
        json: bool = False,
    ) -> Command:
        """Explains where a node would send a request now. Nothing is sent.

        Arrows mark the endpoints that the next request may be sent to.

        Args:
          url: URL of the request, as http://HOST/PATH.
          method: Method of the request.
          headers: Headers of the request, as NAME=VALUE, separated by commas.
          node: Address IP:PORT of a node's control listener.
          settings: Settings file that provides the node's address and TLS
            files, instead of --node.
          credentials: Path prefix DIR/NAME of a certificate and its key, as
            created by `keys make`.
          json: Prints JSON.
        """

        def run() -> int:
            request = actions.describe_request(
                str(url), str(method), str(headers)
            )
            reply = actions.connect(
                actions.NodeTarget(node, settings, credentials)
            ).explain(request)
            return actions.print_reply(
                reply, status_text.format_explanation(reply), json
            )

        return Command(run)

    def demo(self, deployment: str, seed: int | None = None) -> Command:
        """Runs a small deployment on loopback addresses and prints a move.

        Args:
          deployment: zecca or vakharia.
          seed: Seed of the requests, 7 if not given.
        """

        def run() -> int:
            actions.validate_choice("--deployment", deployment, DEPLOYMENTS)
            options = {} if seed is None else {"seed": seed}
            return int(actions.import_module("demo").run(deployment, **options))

        return Command(run)

    def measure(self, what: str, **options: Any) -> Command:
        """Runs a benchmark.

        Args:
          what: convergence, requests, moves, keys, faults, or all.
          **options: Keyword arguments of the benchmark's `run` function.
        """

        def run() -> int:
            actions.validate_choice("measurement", what, (*BENCHMARKS, "all"))
            names = BENCHMARKS if what == "all" else (what,)
            exit_codes = [
                actions.run_benchmark(name, options) for name in names
            ]
            return max(exit_codes)

        return Command(run)

    def experiment(
        self, file: str, seed: int = 1, out: str = "", plot: str = ""
    ) -> Command:
        """Plays a load on the decisions of many nodes, in virtual time.

        Args:
          file: TOML file with the settings of the experiment.
          seed: Seed of all random choices.
          out: JSON file for the summary.
          plot: PNG file for a plot of the summary.
        """
        return Command(
            lambda: actions.run_experiment(str(file), seed, str(out), str(plot))
        )

    def version(self) -> Command:
        """Prints the version."""

        def run() -> int:
            print(importlib.metadata.version(PROGRAM))
            return actions.ExitCode.OK

        return Command(run)


def parse(arguments: list[str]) -> Command | int:
    """Parses arguments into a command.

    Returns:
      The command, or the exit code if there is nothing to run, as for --help.

    Raises:
      CommandError: The arguments are invalid.
    """
    captured_stderr = io.StringIO()
    try:
        # Fire prints a usage page for each error; only its error line is used.
        with contextlib.redirect_stderr(captured_stderr):
            parsed = fire.Fire(
                Commands(),
                command=arguments,
                name=PROGRAM,
                serialize=lambda result: (
                    None if isinstance(result, Command) else result
                ),
            )
    except core.FireExit as error:
        if not error.code:
            # Omits the first paragraph of fire's help, which names a different
            # help flag.
            print(captured_stderr.getvalue().partition("\n\n")[2], end="")
            return actions.ExitCode.OK
        raise actions.CommandError(
            actions.ExitCode.USAGE_ERROR,
            f"{error.trace.elements[-1].ErrorAsStr()}; see '{PROGRAM} --help'",
        ) from error
    return parsed if isinstance(parsed, Command) else actions.ExitCode.OK


def run(arguments: list[str]) -> int:
    """Parses and runs a command line.

    Args:
      arguments: Arguments without the program name.

    Returns:
      The exit code.
    """
    try:
        command = parse(arguments)
        return command if isinstance(command, int) else command.action()
    except actions.CommandError as error:
        _print_error(error)
        return error.code
    except tls.TlsError as error:
        _print_error(error)
        return actions.ExitCode.INVALID_INPUT
    except operator_client.CallError as error:
        _print_error(error)
        return _EXIT_CODES_BY_ERROR.get(
            type(error), actions.ExitCode.UNAVAILABLE
        )
    except KeyboardInterrupt:
        return 130


def _print_error(error: Exception) -> None:
    for line in str(error).splitlines():
        print(f"{PROGRAM}: {line}", file=sys.stderr)


_EXIT_CODES_BY_ERROR: Final[
    dict[type[operator_client.CallError], actions.ExitCode]
] = {
    operator_client.UnavailableError: actions.ExitCode.UNAVAILABLE,
    operator_client.PermissionDeniedError: actions.ExitCode.PERMISSION_DENIED,
    operator_client.NotFoundError: actions.ExitCode.NOT_FOUND,
    operator_client.InvalidRequestError: actions.ExitCode.USAGE_ERROR,
}


def main() -> None:
    """Entry point of the `lycheestair` program."""
    sys.exit(run(sys.argv[1:]))


if __name__ == "__main__":
    main()
