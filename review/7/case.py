"""A spoilt answer, whose length does not fit, is given to the client as its value.

Two proxies, four cache nodes, steady lookups.  The disruption: in a few answers the length of the
value is wrong by a few bytes, and all else is as it should be.
"""

from __future__ import annotations

import random
import socket
import sys
import threading
import time

from rig import Case, Client, Daemon, Discovery, Reader, entry, paced, serve_connections, served

SPOILT_SHARE = 0.03  # of the answers
WRONG_BY = 12  # bytes at most, more or fewer
WORK = 0.01  # s
LAST = 30.0  # s


def value_of(key: bytes) -> bytes:
    return b"Reminder for " + key + b": your appointment is tomorrow"


def body(case: Case) -> list[str]:
    record, lock, breaks = case.record, threading.Lock(), list[str]()
    spoilt: dict[str, int] = {}

    def node(name: str) -> int:
        chance = random.Random(name)

        def handle(sock: socket.socket) -> None:
            reader = Reader(sock)
            while True:
                words = reader.words()
                time.sleep(WORK)
                value, request = value_of(words[1]), words[2].decode()
                answer = served(value)
                with lock:
                    spoil = case.trouble and chance.random() < SPOILT_SHARE
                    by = chance.choice((-1, 1)) * chance.randint(1, WRONG_BY) if spoil else 0
                if by:
                    right, wrong = b"$%d\r\n" % len(value), b"$%d\r\n" % (len(value) + by)
                    answer = answer.replace(right, wrong, 1)
                    record.write(f"{name}: spoilt answer to {request}: {answer!r}")
                    spoilt[request] = by
                sock.sendall(answer)

        return int(serve_connections(case, handle).getsockname()[1])

    nodes = [entry(name, node(name)) for name in ("s-1", "s-2", "s-3", "s-4")]
    discovery = Discovery(case, nodes)
    proxies = [Daemon(case, name, nodes, discovery.port) for name in ("n1", "n2")]
    for proxy in proxies:
        proxy.wait_ready()

    def lookups(proxy: Daemon, client_name: str) -> None:
        chance = random.Random(client_name)
        with Client(proxy.port) as client:
            for number in paced(case, 0.05, LAST):
                key, request = b"account-%d" % chance.randrange(100), f"{client_name}-{number}"
                options = b"c=lookup,t=clinic,d=480"
                answer = client.call(b"OBJ.GET", key, request.encode(), options)
                if answer.startswith(b"$") and answer[1:] != value_of(key):
                    text = (
                        f"{request} got {answer[1:]!r} from {proxy.name} instead of "
                        f"{value_of(key)!r}; a length was wrong by {spoilt.get(request)}"
                    )
                    record.write(f"client: {text}")
                    breaks.append(text)
                elif not answer.startswith(b"$"):
                    record.write(f"client: answer to {request}: {answer.decode()}")

    for proxy in proxies:
        for number in range(4):
            case.thread(lookups, proxy, f"{proxy.name}c{number}")
    case.over.wait(LAST + 1.0)
    record.write(f"{len(spoilt)} requests had a spoilt answer")
    return breaks


if __name__ == "__main__":
    sys.exit(Case(__file__).play(body))
