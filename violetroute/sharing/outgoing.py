"""What one member wants to be sent to another.  Pure."""

from __future__ import annotations

from dataclasses import dataclass

from .wire import Item


@dataclass(frozen=True, slots=True)
class Send:
    """To be sent: to a member by name, or to a place of which the name is not known yet."""

    to: str
    place: str
    items: tuple[Item, ...]
