"""Summary of the effective configuration, in the units of the files, for `limebridge check`."""

from __future__ import annotations

from violetroute.config import Config, Operator
from violetroute.membership import source_order


def _source(name: str, operator: Operator) -> str:
    if name == "consul":
        return f"Consul's {operator.consul.service} at {', '.join(operator.consul.agents)}"
    return operator.membership.file if name == "file" else "the platform's list"


def of_operator(operator: Operator, path: str | None, planned: int | None) -> dict[str, object]:
    """Summarise the operator's file; `planned`: number of nodes in the placement's plan."""
    ledger, fleet = operator.ledger, operator.fleet
    return {
        "operator's file": path or "none: defaults",
        "log": f"{operator.log.level}, {operator.log.format}",
        "nodes from": ", else ".join(_source(name, operator) for name in source_order(operator)),
        "placement": "off" if planned is None else f"{operator.placement.file} ({planned} nodes)",
        "cluster": operator.cluster.appear,
        "ledger": "off"
        if not ledger.folder
        else f"{ledger.folder}, {ledger.period_min} min in {ledger.zone}, export {ledger.export}",
        "fleet": "off"
        if fleet.store == "off"
        else f"{fleet.folder or ', '.join(fleet.agents)}, works {', '.join(fleet.works) or 'none'}",
        "distribution": "off"
        if not operator.distribution.controls
        else f"{len(operator.distribution.controls)} control machines",
    }


def of_configuration(config: Config) -> dict[str, object]:
    """Summarise a full configuration."""
    return {
        "name": config.name,
        "listen": f"{config.listen.host}:{config.listen.port}",
        "discovery": f"{config.discovery.host}:{config.discovery.port}",
        "client connections": config.client_sockets,
        "node connections": config.upstream_sockets,
        "room for values, KiB": config.client_memory_bytes // 1024,
        "known nodes": len(config.known.entries),
        "classes": [
            f"{c.name} ({c.effect.value}, {c.deadline:g} ms)" for c in config.settings.classes
        ],
        **of_operator(
            config.operator,
            config.operator_path,
            None if config.plan is None else len(config.plan.nodes),
        ),
        "unknown keys": list(config.unknown),
    }
