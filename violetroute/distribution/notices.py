"""Writes the machine's notices to the log."""

from __future__ import annotations

from violetroute import logs

from .actions import Notice


def log_notice(notice: Notice) -> None:
    """Logs one line; notices without a log event of their own are logged as `control.notice`."""
    fields = dict(notice.fields)
    match notice.event:
        case "term_began":
            logs.event("control.term_began", fence=fields["fence"])
        case "term_ended":
            logs.event("control.term_ended", fence=fields["fence"])
        case "no_majority":
            logs.event("control.no_majority", fence=fields["fence"])
        case "cannot_lead":
            logs.event("control.cannot_lead", reason=fields["reason"])
        case "recovered":
            logs.event("control.recovered", fence=fields["fence"], position=fields["position"])
        case _:
            text = " ".join(f"{key}={value}" for key, value in fields.items())
            logs.event("control.notice", what=notice.event, text=text)
