"""A Consul agent on a loopback port: the health call with blocking queries.

https://developer.hashicorp.com/consul/api-docs/health and .../features/blocking.  A query with an
index waits until the catalogue has a later one, or its wait is over.  Standard library only.
"""

from __future__ import annotations

import json
import socket
import threading
import time
from typing import Any
from urllib.parse import parse_qs, urlsplit

from rig import Case, Reader, serve_connections


class Catalogue:
    """The services that all agents show, and its index."""

    def __init__(self, case: Case) -> None:
        self._case = case
        self.changed = threading.Condition()
        self.index, self.services = 10, dict[str, dict[str, Any]]()

    def change(self, register: dict[str, int], deregister: tuple[str, ...] = ()) -> None:
        """Register services by name and port, and deregister others, in one step."""
        with self.changed:
            for name, port in register.items():
                self.services[name] = {"port": port, "maintenance": False}
            for name in deregister:
                del self.services[name]
            self._raise_index()

    def set_maintenance(self, *names: str) -> None:
        """Switch the maintenance mode of services on: they drain."""
        with self.changed:
            for name in names:
                self.services[name]["maintenance"] = True
            self._raise_index()

    def _raise_index(self) -> None:
        self.index += 1
        listed = ", ".join(
            name + (" (maintenance)" if service["maintenance"] else "")
            for name, service in self.services.items()
        )
        self._case.record.write(f"consul: index {self.index}: {listed}")
        self.changed.notify_all()


class Agent:
    """The agent on one proxy's machine.  `delay`: seconds that each answer comes late."""

    def __init__(self, case: Case, name: str, catalogue: Catalogue) -> None:
        self._case, self._name, self._catalogue = case, name, catalogue
        self._open: dict[int, None] = {}
        self._silent: dict[int, None] = {}  # connections on which nothing is sent any more
        self.delay = 0.0
        # Time and entries in service of each answer that was written.
        self.answers: list[tuple[float, list[str]]] = []
        self.port = int(serve_connections(case, self._serve).getsockname()[1])

    def silence_open_connections(self) -> None:
        """Nothing more comes on the connections that are open; new ones work."""
        with self._catalogue.changed:
            self._silent |= self._open
            self._case.record.write(f"{self._name}: {len(self._silent)} connections fall silent")

    def told_without(self, name: str) -> float | None:
        """When the first answer was written in which this node is not in service any more."""
        before = False
        for at, listed in self.answers:
            if before and name not in listed:
                return at
            before = before or name in listed
        return None

    def _serve(self, sock: socket.socket) -> None:
        reader, connection = Reader(sock), id(sock)
        with self._catalogue.changed:
            self._open[connection] = None
        try:
            while True:
                target = reader.line().split()[1].decode()
                while reader.line():
                    pass
                self._answer(sock, connection, target)
        finally:
            with self._catalogue.changed:
                self._open.pop(connection, None)
                self._silent.pop(connection, None)

    def _answer(self, sock: socket.socket, connection: int, target: str) -> None:
        query = parse_qs(urlsplit(target).query, keep_blank_values=True)
        record, catalogue = self._case.record, self._catalogue
        record.write(f"{self._name}: asked {target}")
        if "index" in query and "consistent" not in query:
            index, wait = int(query["index"][0]), int(query["wait"][0].removesuffix("ms")) / 1000.0
            with catalogue.changed:
                catalogue.changed.wait_for(lambda: catalogue.index != index, wait)
        time.sleep(self.delay)
        with catalogue.changed:
            if connection in self._silent:
                catalogue.changed.wait_for(self._case.over.is_set, 120.0)
                return
            index, services = catalogue.index, {k: dict(v) for k, v in catalogue.services.items()}
        body = json.dumps([_element(name, service) for name, service in services.items()])
        head = (
            f"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nX-Consul-Index: {index}\r\n"
            "X-Consul-KnownLeader: true\r\nX-Consul-LastContact: 0\r\n"
            f"Content-Length: {len(body)}\r\n\r\n"
        )
        sock.sendall((head + body).encode())
        at = record.now()
        record.write(f"{self._name}: answered {target} with index {index}", at)
        listed = [name for name, service in services.items() if not service["maintenance"]]
        self.answers.append((at, listed))


def _element(name: str, service: dict[str, Any]) -> dict[str, Any]:
    checks = [{"CheckID": "serfHealth", "Status": "passing"}]
    if service["maintenance"]:
        checks.append({"CheckID": f"_service_maintenance:{name}", "Status": "critical"})
    return {
        "Node": {"Node": f"machine-{name}", "Address": "127.0.0.1"},
        "Service": {
            "ID": name,
            "Service": "cache",
            "Address": "127.0.0.1",
            "Port": service["port"],
            "Tags": [],
            "Meta": {"zone": "catania-nord", "machine_type": "standard", "started_at_ms": "1000"},
            "Weights": {"Passing": 1, "Warning": 1},
        },
        "Checks": checks,
    }
