"""The command line `limebridge COMMAND`; `limebridge --help` lists the commands.

A command's modules are imported when it runs, since importing all of them takes over a second.
"""

from __future__ import annotations

from typing import Any

import typer
from typer.core import TyperGroup

from .lazy_command import LazyCommand

COMMANDS = (  # in the order of the help page
    LazyCommand(
        "rehearse",
        "limebridge.rehearsal.command:rehearse",
        "Run a scenario on the virtual clock against the daemon's own code.",
    ),
    LazyCommand(
        "demo",
        "limebridge.demo_command:demo",
        "Start the daemon with cache nodes, a customer database and discovery on loopback.",
    ),
    LazyCommand(
        "check",
        "limebridge.daemon_commands:check",
        "Check the files and show the resulting configuration, without starting the daemon.",
    ),
    LazyCommand(
        "serve",
        "limebridge.daemon_commands:serve",
        "Run the daemon in place of this process.",
    ),
    LazyCommand(
        "explore",
        "limebridge.explore_commands:explore",
        "Run the daemon's own code in memory against faults generated from seeds.",
    ),
    LazyCommand(
        "replay",
        "limebridge.explore_commands:replay",
        "Run one plan again and print its trace.  Exit status 1 when it violates a rule or bound.",
    ),
    LazyCommand(
        "placement",
        "limebridge.placement.command:app",
        "Plan the share of the keys of each node, under constraints.",
    ),
    LazyCommand(
        "ledger",
        "limebridge.ledger.command:app",
        "Ledgers: what was served, by tenant and class.",
    ),
    LazyCommand(
        "experiment",
        "limebridge.experiments.command:app",
        "Parameter sweeps over rehearsals, with tables and charts.",
    ),
    LazyCommand(
        "faults",
        "limebridge.faults.command:app",
        "Test several daemon processes under faults.",
    ),
    LazyCommand(
        "fleet",
        "limebridge.fleet.command:app",
        "Works on behalf of the fleet; its members.",
    ),
    LazyCommand(
        "control",
        "limebridge.control.command:app",
        "Control machines: purges and configuration.",
    ),
    LazyCommand(
        "scale",
        "limebridge.scale.command:scale_app",
        "Costs at the target size: measured slopes.",
    ),
)


class CommandLine(TyperGroup):
    """The group of all commands, each of which is loaded on use."""

    def __init__(self, **attributes: Any) -> None:
        super().__init__(**attributes)
        for command in COMMANDS:
            self.add_command(command)


app = typer.Typer(
    add_completion=False,
    cls=CommandLine,
    no_args_is_help=True,
    help="Command line and test kit of the limebridge proxy.",
)


@app.callback()
def _main() -> None:
    """Command line and test kit of the limebridge proxy."""


if __name__ == "__main__":
    app()
