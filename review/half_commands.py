"""Case 3: clients that stop in the middle of a request and stay, beside usual clients."""

from __future__ import annotations

import asyncio
import random
import time
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass
from pathlib import Path

import support
from support import TROUBLE, Clients, Discovery, Lateness, Node, ProxyProcess, Record

RATE = 200.0  # requests a second; the page says 200 to 320 for a proxy
WORK = 0.1  # s; the page says 69 to 120 ms for a lookup
QUIET, TROUBLED, AFTER = 4.0, 20.0, 3.0  # s before, with and after the half commands
OWED = 3.0  # s within which such a client is owed an error or a close


@dataclass
class Scene:
    """Limits and numbers of the scene."""

    memory_mb: int
    sockets: int
    usual_connections: int  # that the usual clients hold for requests at most
    half_clients: int
    half_command: Callable[[], bytes]  # what one of them sends before it stops


class HalfClients:
    """Clients that send a part of a command and stay; turned away, they do the same again."""

    def __init__(self, record: Record, port: int, scene: Scene) -> None:
        self._record, self._port, self._scene = record, port, scene
        self.waits: list[float] = []  # s until each was answered or closed

    async def run(self, until: float) -> None:
        """Run all of them until loop time `until`."""
        count = self._scene.half_clients
        await asyncio.gather(*(self._client(number, until) for number in range(count)))

    async def _client(self, number: int, until: float) -> None:
        loop = asyncio.get_running_loop()
        while (now := loop.time()) < until:
            try:
                reader, writer = await asyncio.open_connection("127.0.0.1", self._port)
                writer.write(self._scene.half_command())
                got = await asyncio.wait_for(reader.read(200), 10.0)
            except TimeoutError:
                got = b"nothing for 10 s"
            except OSError as error:
                got = str(error).encode()
                await asyncio.sleep(0.05)
            self.waits.append(loop.time() - now)
            self._record.write("half", client=number, s=round(self.waits[-1], 2), got=got)
            writer.close()


async def play(record: Record, folder: Path, scene: Scene) -> bool:
    """Play the scene: whether each request of a usual client got its final answer."""
    nodes = [Node(record, f"s-{number}", WORK) for number in range(6)]
    discovery = Discovery(record)
    for node in nodes:
        await node.start()
    discovery.set_initial([node.entry() for node in nodes])
    await discovery.start()
    proxy = ProxyProcess(
        folder,
        "n1",
        {
            "discovery": discovery.address,
            "limits": {"cores": 1.0, "memory_mb": scene.memory_mb, "sockets": scene.sockets},
            "known": discovery.listing(),
            "settings": support.settings(),
        },
    )
    loop = asyncio.get_running_loop()
    clients = None
    try:
        await proxy.start()
        clients = Clients(record, proxy.port, most=scene.usual_connections)
        half = HalfClients(record, proxy.port, scene)
        lateness = Lateness()
        trouble_at = loop.time() + QUIET
        trouble = asyncio.create_task(_later(trouble_at, half)) if TROUBLE else None
        tasks = []
        while loop.time() < trouble_at + TROUBLED + AFTER:
            await asyncio.sleep(random.expovariate(RATE))
            tasks.append(asyncio.create_task(_request(clients)))
        await asyncio.gather(*tasks)
        if trouble is not None:
            await trouble
        if not proxy.running:
            record.say("the proxy has ended")
            return False
        lateness.check(0.25)
        kinds = Counter(answer.kind for _, answer in clients.answers)
        lost = [one for one in clients.answers if one[1].kind == "none"]
        classes = Counter(answer.command.split(b"c=")[1].split(b",")[0] for _, answer in lost)
        record.say(f"{len(clients.answers)} requests: {dict(kinds)}; unanswered: {dict(classes)}")
        late = sum(wait > OWED for wait in half.waits)
        record.say(
            f"{len(half.waits)} half commands, {late} without an error or a close in {OWED} s,"
            f" the longest {max(half.waits, default=0.0):.1f} s"
        )
        if kinds["served"] < 0.3 * len(clients.answers):
            raise support.CannotRun("too little was served to judge")
        return not lost
    finally:
        if clients is not None:
            clients.close()
        await proxy.stop()


async def _later(at: float, half: HalfClients) -> None:
    loop = asyncio.get_running_loop()
    await asyncio.sleep(at - loop.time())
    await half.run(at + TROUBLED)


async def _request(clients: Clients) -> None:
    """One request of the usual mix; a try is given up after 50 to 80% of the class's time."""
    key = b"template-%d" % random.randrange(300)
    share, kind = random.uniform(0.5, 0.8), random.random()
    if kind < 0.93:
        await clients.request(key, round(600 * share))
    elif kind < 0.97:
        await clients.request(key, round(1200 * share), "optout", b"STOP")
    else:
        await clients.request(key, round(3000 * share), "template-save", b"t" * 1500)


def started(parts: list[bytes], rest: bytes) -> bytes:
    """A command of `parts` bulk strings and one more, of which only `rest` is sent."""
    return b"*%d\r\n" % (len(parts) + 1) + b"".join(map(support.bulk, parts)) + rest


def new_id() -> bytes:
    """An id that was never used."""
    return b"%d-%016x" % (time.monotonic_ns(), random.getrandbits(64))
