"""Commands whose modules are imported only when the command is used."""

from __future__ import annotations

import importlib
from typing import Any

import typer
from typer.core import TyperCommand
from typer.main import get_group


class LazyCommand(TyperCommand):
    """A command listed by name and help text; its module is imported when it runs."""

    def __init__(self, name: str, target: str, help: str) -> None:
        """`target`: MODULE:ATTRIBUTE of a Typer application or of a function.

        `help` is the first paragraph of the command's own help text.
        """
        super().__init__(name, help=help)
        self._name, self._target = name, target

    def load(self) -> Any:
        """Import the target and return the command that typer makes of it."""
        module, _, attribute = self._target.partition(":")
        target = getattr(importlib.import_module(module), attribute)
        parent = typer.Typer(add_completion=False)
        if isinstance(target, typer.Typer):
            parent.add_typer(target, name=self._name)
        else:
            parent.command(self._name)(target)
        return get_group(parent).commands[self._name]

    def make_context(self, *arguments: Any, **extra: Any) -> Any:
        """Return the loaded command's context, so that its parameters are parsed and it runs."""
        return self.load().make_context(*arguments, **extra)
