"""Nodes drain in Consul while the open long polls are silent, and get requests for too long.

Two proxies whose node list comes from Consul (each from an agent of its own), eight cache nodes,
steady lookups.  The disruption: the open connections to the agents fall silent once; new ones work.
Right after that a quarter of the nodes goes into maintenance mode, and stays up.
"""

from __future__ import annotations

import random
import socket
import sys
import threading

from consul_standin import Agent, Catalogue
from rig import Case, Client, Daemon, Discovery, Reader, paced, serve_connections, served

# What a silent long poll misses counts as told 6 s after it fell silent, or 2 s after its wait is
# over, if that is later.  Its wait is 10 s (the default), to which a server adds 1/16 at most.
WAIT = 10.0 * (1.0 + 1.0 / 16.0)
TOLD = max(6.0, WAIT + 2.0)  # s after the last byte on the connection
GRACE = 0.5 + 0.05  # s from when a proxy is told, with the slack of the rules on sockets
# The agent answers at once, so a drain that is asked for is told in that moment.
SILENT_AT, LAST = 3.0, 24.0  # s
WORK = 0.01  # s
NODES = tuple(f"s-{n}" for n in range(1, 9))
DRAINING = NODES[:2]


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
                case.over.wait(WORK)
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
            for number in paced(case, 0.025, LAST):
                key = b"account-%d" % chance.randrange(300)
                request = b"%s-%d" % (proxy.name.encode(), number)
                answer = client.call(b"OBJ.GET", key, request, b"c=lookup,t=clinic,d=480")
                if not answer.startswith(b"$"):
                    record.write(f"client: answer to {request.decode()}: {answer.decode()}")

    for proxy in proxies:
        case.thread(lookups, proxy)
    case.over.wait(SILENT_AT)
    # A change that all proxies get, so that their long polls begin now, with the whole wait.
    catalogue.change({"s-9": node("s-9")})
    case.over.wait(0.5)
    silent_since = {name: agent.answers[-1][0] for name, agent in agents.items()}
    if case.trouble:
        for agent in agents.values():
            agent.silence_open_connections()
    catalogue.set_maintenance(*DRAINING)
    case.over.wait(LAST - SILENT_AT)
    breaks = []
    for proxy in proxies:
        told = silent_since[proxy.name] + TOLD
        answered = agents[proxy.name].told_without(DRAINING[0])
        told = min(told, answered) if answered is not None else told
        record.write(f"{proxy.name}: silent since {silent_since[proxy.name]:.4f}, told {told:.4f}")
        for at, name, request, sender in arrivals:
            if sender == proxy.name and name in DRAINING and at > told + GRACE:
                breaks.append(
                    f"{request} went to {name} {at - told:.3f} s after the drain was told"
                )
    return breaks


if __name__ == "__main__":
    sys.exit(Case(__file__).play(body))
