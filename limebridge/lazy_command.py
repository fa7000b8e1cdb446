"""Commands whose modules are imported only when the command is used."""

from __future__ import annotations

import importlib
from typing import Any

import typer
from typer.core import TyperCommand
from typer.main import get_group


class LazyCommand(TyperCommand):
    """Lists a command by name and help text, and imports the command itself to run it."""

    def __init__(self, name: str, target: str, help: str) -> None:
        """`target`: MODULE:ATTRIBUTE of a Typer application or of a function.

        `help` is the first paragraph of the command's own help text.
        """
        super().__init__(name, help=help)
        self._name, self._target = name, target

    def load(self) -> Any:
        """The command itself, as typer makes it of an application or a function."""
        module, _, attribute = self._target.partition(":")
        target = getattr(importlib.import_module(module), attribute)
        parent = typer.Typer(add_completion=False)
        if isinstance(target, typer.Typer):
            parent.add_typer(target, name=self._name)
        else:
            parent.command(self._name)(target)
        return get_group(parent).commands[self._name]

    def make_context(self, *arguments: Any, **extra: Any) -> Any:
        """The context of the command itself, so that its parameters are parsed and it is run."""
        return self.load().make_context(*arguments, **extra)
