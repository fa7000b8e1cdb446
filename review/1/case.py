"""A planned restart while clients wait for pipelined saves and a half of the cache nodes hang.

Three clients send 200 template-saves each, at once.  0.1 s later the proxy gets SIGTERM.  Each
client reads until its connection ends, and sends what was not answered once more on a new one.
"""

from __future__ import annotations

import asyncio
import os
import random
import signal
import sys
import time
from collections import Counter
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))
import support
from support import TROUBLE, Clients, Discovery, Node, ProxyProcess, Record

CLIENTS, COMMANDS = 3, 200
WAIT_MS = 2400  # a try is given up after 50 to 80% of the class's time, here 3 s
LONGEST = 3.0  # s, the longest deadline; SIGKILL comes no sooner than 0.7 s after it
HANGING = 3  # of six nodes; the page says a quarter to a half


class HangingNode(Node):
    """A node that can hang in the middle of its work."""

    hangs = False

    async def answer(self, args: list[bytes]) -> bytes:
        """Run a command; while the node hangs, its answer waits."""
        while self.hangs:
            await asyncio.sleep(0.02)
        return await super().answer(args)


class PipelineClient:
    """Sends many commands at once and reads the answers in their order."""

    def __init__(self, record: Record, port: int, number: int) -> None:
        self._record, self._port, self._number = record, port, number
        self.kinds: Counter[str] = Counter()
        self.sent_at = 0.0
        self._commands = [self._command(place) for place in range(COMMANDS)]
        self.bytes = sum(map(len, self._commands))

    def _command(self, place: int) -> bytes:
        request = f"client{self._number}-{place}-{os.urandom(4).hex()}"
        options = f"c=template-save,t=clinic,d={WAIT_MS},k={os.urandom(8).hex()}"
        parts = [
            b"OBJ.SET",
            b"template-%d" % random.randrange(300),
            request.encode(),
            options.encode(),
            b"t" * 100,
        ]
        return b"*5\r\n" + b"".join(map(support.bulk, parts))

    async def run(self) -> None:
        """Send all commands, then read the answers; what is left goes to a new connection."""
        left = await self._exchange(self._commands)
        if left:
            self._record.write("ended", client=self._number, unanswered=len(left))
            left = await self._exchange(left)
        self.kinds["none"] += len(left)
        self._record.write("result", client=self._number, kinds=dict(self.kinds))

    async def _exchange(self, commands: list[bytes]) -> list[bytes]:
        """Send commands on a new connection; return those that got no whole answer."""
        answered = 0
        try:
            reader, writer = await asyncio.open_connection("127.0.0.1", self._port)
        except OSError as error:
            self._record.write("refused", client=self._number, error=error)
            return commands
        try:
            writer.write(b"".join(commands))
            await writer.drain()
            self.sent_at = self.sent_at or time.monotonic()
            self._record.write("sent", client=self._number, commands=len(commands))
            async with asyncio.timeout(20.0):
                while answered < len(commands):
                    line = await reader.readline()
                    if not line.endswith(b"\r\n"):
                        break
                    if line.startswith(b"$"):
                        await reader.readexactly(int(line[1:]) + 2)
                    kind = (
                        "served"
                        if line.startswith(b"$")
                        else "refused"
                        if line.startswith(b"-BUSY")
                        else "failed"
                    )
                    self.kinds[kind] += 1
                    self._record.write("answer", client=self._number, place=answered, kind=kind)
                    answered += 1
        except (ConnectionError, asyncio.IncompleteReadError, TimeoutError) as error:
            self._record.write("end", client=self._number, error=repr(error))
        finally:
            writer.close()
        return commands[answered:]


async def play(record: Record, folder: Path) -> bool:
    """Play the restart: whether each command that was sent before SIGTERM got its answer."""
    nodes = [HangingNode(record, f"s-{number}", 0.1) for number in range(6)]
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
            "limits": {"cores": 1.0, "memory_mb": 64, "sockets": 1024},
            "known": discovery.listing(),
            "settings": support.settings(),
        },
    )
    try:
        await proxy.start()
        usual = Clients(record, proxy.port)
        for _ in range(100):  # a second of usual traffic first
            key = b"template-%d" % random.randrange(300)
            await asyncio.gather(usual.request(key, 480), asyncio.sleep(0.01))
        usual.close()
        for node in nodes[:HANGING]:
            node.hangs = TROUBLE
        clients = [PipelineClient(record, proxy.port, number) for number in range(CLIENTS)]
        tasks = [asyncio.create_task(client.run()) for client in clients]
        await asyncio.sleep(0.1)
        if any(not client.sent_at for client in clients):
            raise support.CannotRun("the commands could not be sent in 0.1 s")
        if TROUBLE:
            proxy.signal(signal.SIGTERM)
            record.write("signal", name="SIGTERM")
            signalled = time.monotonic()
            while proxy.running and time.monotonic() < signalled + LONGEST + 0.75:
                await asyncio.sleep(0.01)
            took = time.monotonic() - signalled
            record.say(f"{took:.2f} s after SIGTERM the proxy {proxy.state()}")
            await proxy.stop()  # SIGKILL
        await asyncio.gather(*tasks)
        kinds = sum((client.kinds for client in clients), Counter[str]())
        record.say(f"{CLIENTS} clients, {COMMANDS} commands each: {dict(+kinds)}")
        for client in clients:
            record.say(f"a client's {client.bytes} bytes: {dict(+client.kinds)}")
        return not kinds["none"]
    finally:
        await proxy.stop()


if __name__ == "__main__":
    support.main(__file__, play)
