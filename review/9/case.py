"""Nodes that were removed from Consul's catalogue go on getting requests while Consul is slow.

Two proxies whose node list comes from Consul (each from an agent of its own), ten cache nodes,
steady lookups.  The fleet, which had grown, shrinks from ten nodes to four in one step; the
processes of the removed nodes go on running.  The disruption: from just before that, each answer of
the agents comes 0.6 s late.
"""

from __future__ import annotations

import random
import socket
import sys
import threading
import time

from consul_standin import Agent, Catalogue
from rig import Case, Client, Daemon, Discovery, Reader, paced, serve_connections, served

LATE = 0.6  # s
GRACE = 0.5 + 0.05  # s from when a proxy is told, with the slack of the rules on sockets
SHRINKS_AT, LAST = 5.0, 20.0  # s
WORK = 0.01  # s
NODES = tuple(f"s-{n}" for n in range(1, 11))
REMOVED = NODES[:6]


def body(case: Case) -> list[str]:
    record, catalogue, lock = case.record, Catalogue(case), threading.Lock()
    arrivals: list[tuple[float, str, str, str]] = []

    def node(name: str) -> int:
        def handle(sock: socket.socket) -> None:
            reader = Reader(sock)
            while True:
                words = reader.words()
                at, request = record.now(), words[2].decode()
                record.write(f"{name}: got {request}", at)
                with lock:
                    arrivals.append((at, name, request, request.partition("-")[0]))
                time.sleep(WORK)
                sock.sendall(served(b"template of " + words[1]))

        return int(serve_connections(case, handle).getsockname()[1])

    catalogue.change({name: node(name) for name in NODES})
    discovery = Discovery(case, [])  # the platform's list is not in use
    agents, proxies = {}, []
    for name in ("n1", "n2"):
        agent = agents[name] = Agent(case, f"agent of {name}", catalogue)
        operator = f'[consul]\nagents = ["127.0.0.1:{agent.port}"]\n'
        proxies.append(Daemon(case, name, [], discovery.port, operator))
    for proxy in proxies:
        proxy.wait_ready()
    case.over.wait(1.0)

    def lookups(proxy: Daemon) -> None:
        chance = random.Random(proxy.name)
        with Client(proxy.port) as client:
            for number in paced(case, 0.04, LAST):
                key = b"account-%d" % chance.randrange(300)
                request = b"%s-%d" % (proxy.name.encode(), number)
                answer = client.call(b"OBJ.GET", key, request, b"c=lookup,t=clinic,d=480")
                if not answer.startswith(b"$"):
                    record.write(f"client: answer to {request.decode()}: {answer.decode()}")

    for proxy in proxies:
        case.thread(lookups, proxy)
    case.over.wait(SHRINKS_AT)
    if case.trouble:
        for agent in agents.values():
            agent.delay = LATE
        record.write(f"agents: each answer comes {LATE} s late from now on")
    catalogue.change({}, REMOVED)
    case.over.wait(LAST - SHRINKS_AT + 0.5)
    breaks = []
    for proxy in proxies:
        agent = agents[proxy.name]
        told = {name: agent.told_without(name) for name in REMOVED}
        record.write(f"{proxy.name} was told of the removals at: {told}")
        for at, name, request, sender in arrivals:
            notified = told.get(name)
            if sender == proxy.name and notified is not None and at > notified + GRACE:
                breaks.append(f"{request} went to {name} {at - notified:.3f} s after the answer")
    return breaks


if __name__ == "__main__":
    sys.exit(Case(__file__).play(body))
