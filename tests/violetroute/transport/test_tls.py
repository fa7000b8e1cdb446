"""TLS streams, and certificates that change in service; certificates are made by trustme."""

from __future__ import annotations

import asyncio
import ssl
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any

import pytest
import trustme
from cryptography.hazmat.primitives import serialization

from limebridge.standins.consul import Catalogue, Consul
from tests.support.rig import CacheNode, Rig, configuration, serves, wait_until, with_timeout
from tests.violetroute.config.test_configuration import loaded
from violetroute.config import ConfigError, Operator
from violetroute.membership import ConsulTable
from violetroute.transport import Address
from violetroute.transport.sockets import SocketNetwork
from violetroute.transport.tls import MAX_PENDING_WRITES, TlsFiles, TlsKeys, TlsStream


def server(authority: trustme.CA, *names: str, demands: trustme.CA | None = None) -> ssl.SSLContext:
    context = ssl.SSLContext(ssl.PROTOCOL_TLS_SERVER)
    authority.issue_cert(*(names or ("127.0.0.1",))).configure_cert(context)
    if demands is not None:
        context.verify_mode = ssl.CERT_REQUIRED
        demands.configure_trust(context)
    return context


def ca_file(authority: trustme.CA, folder: Path) -> str:
    authority.cert_pem.write_to_path(str(folder / "ca.pem"))
    return str(folder / "ca.pem")


class Owner:
    """A handler that records its callbacks."""

    def __init__(self) -> None:
        self.data, self.callbacks = bytearray(), []  # type: ignore[var-annotated]
        self._buffer = memoryview(bytearray(4096))

    def opened(self) -> None:
        self.callbacks.append("opened")

    def buffer(self) -> memoryview:
        return self._buffer

    def received(self, count: int) -> None:
        self.data += self._buffer[:count]

    def ended(self) -> None:
        self.callbacks.append("ended")

    def drained(self) -> None: ...

    def lost(self, error: OSError | None) -> None:
        self.callbacks.append(("lost", str(error or "")))

    def has(self, *callbacks: str) -> bool:
        return [t if isinstance(t, str) else t[0] for t in self.callbacks] == list(callbacks)


def connected(
    folder: Path,
    part: Callable[[TlsStream, Owner], Awaitable[None]],
    serve: Callable[[asyncio.StreamReader, asyncio.StreamWriter], Awaitable[None]],
    tls: ssl.SSLContext | None,
    files: TlsFiles,
    limit: float = 5.0,
) -> None:
    async def run() -> None:
        listening = await asyncio.start_server(serve, "127.0.0.1", 0, ssl=tls)
        port = listening.sockets[0].getsockname()[1]
        owner = Owner()
        stream = TlsStream(
            SocketNetwork(asyncio.get_running_loop()),
            Address("127.0.0.1", port),
            owner,
            limit,
            TlsKeys(files),
        )
        await part(stream, owner)
        stream.abort()
        await wait_until(lambda: owner.callbacks and owner.callbacks[-1][0] == "lost")
        assert sum(callbacks[0] == "lost" for callbacks in owner.callbacks) == 1
        listening.close()

    asyncio.run(run())


async def echoes(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
    while data := await reader.read(65536):
        writer.write(data)
    writer.close()


def test_a_megabyte_is_echoed_across_a_pause_and_ends_in_order(tmp_path: Path) -> None:
    authority = trustme.CA()

    async def part(stream: TlsStream, owner: Owner) -> None:
        stream.write(b"early ")  # written before the handshake
        await wait_until(lambda: owner.data == b"early ")
        sent = bytes(range(256)) * 4096
        stream.write_all([sent[:1000], sent[1000:]])
        await wait_until(lambda: len(owner.data) > 200_000)
        stream.pause()
        received = len(owner.data)
        await asyncio.sleep(0)
        assert len(owner.data) == received
        stream.resume()
        await wait_until(lambda: len(owner.data) == 6 + len(sent))
        assert owner.data[6:] == sent and stream.no_pending_input()
        stream.end()
        await wait_until(lambda: owner.has("opened", "ended"))

    connected(tmp_path, part, echoes, server(authority), TlsFiles(ca_file(authority, tmp_path)))


def test_an_end_during_a_pause_is_reported_after_the_unread_data(tmp_path: Path) -> None:
    authority = trustme.CA()

    async def part(stream: TlsStream, owner: Owner) -> None:
        stream.write(b"x" * 50_000)
        await wait_until(lambda: owner.data)
        stream.pause()
        stream.ended()
        assert "ended" not in owner.callbacks
        stream.resume()
        await wait_until(lambda: "ended" in owner.callbacks)

    connected(tmp_path, part, echoes, server(authority), TlsFiles(ca_file(authority, tmp_path)))


def test_data_written_before_the_handshake_is_bounded(tmp_path: Path) -> None:
    async def part(stream: TlsStream, owner: Owner) -> None:
        for _ in range(MAX_PENDING_WRITES // 1000 + 1):
            stream.write(b"x" * 1000)
        await wait_until(lambda: owner.has("lost"))
        assert "before the handshake" in owner.callbacks[0][1]

    connected(tmp_path, part, echoes, None, TlsFiles(ca_file(trustme.CA(), tmp_path)))


@pytest.mark.parametrize("wrong", ["authority", "name", "plain", "silent", "no certificate"])
def test_a_peer_that_fails_verification_is_never_opened(tmp_path: Path, wrong: str) -> None:
    authority, other = trustme.CA(), trustme.CA()
    context = {
        "authority": server(other),
        "name": server(authority, "10.0.0.1"),
        "no certificate": server(authority, demands=other),
    }.get(wrong)

    async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        if wrong == "plain":
            writer.write(b"HTTP/1.1 200 OK\r\n\r\n")
        await reader.read()
        writer.close()

    async def part(stream: TlsStream, owner: Owner) -> None:
        stream.write(b"a token that nobody else may see")
        # With TLS 1.3 the server rejects a missing certificate after the client's handshake.
        if wrong == "no certificate":
            await wait_until(lambda: owner.has("opened", "ended") or owner.has("opened", "lost"))
        else:
            await wait_until(lambda: owner.has("lost"))
            assert owner.callbacks[-1][1]
        assert not owner.data

    connected(
        tmp_path,
        part,
        serve,
        context,
        TlsFiles(ca_file(authority, tmp_path)),
        limit=0.5 if wrong == "silent" else 5.0,
    )


def test_a_stream_without_usable_files_is_lost_with_the_reason(tmp_path: Path) -> None:
    async def part(stream: TlsStream, owner: Owner) -> None:
        await wait_until(lambda: owner.has("lost"))
        assert "none.pem" in owner.callbacks[0][1]

    connected(tmp_path, part, echoes, None, TlsFiles(str(tmp_path / "none.pem")))


def test_changed_keys_are_reloaded_and_unusable_ones_ignored(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    said: list[str] = []
    monkeypatch.setattr("violetroute.logs.event", lambda name, **more: said.append(name))
    keys = TlsKeys(TlsFiles(ca_file(trustme.CA(), tmp_path)))
    first = keys.context()
    assert keys.context() is first
    (tmp_path / "ca.pem").write_text("half a fi")
    assert keys.context() is first and said == ["tls.unusable"]
    (tmp_path / "ca.pem").unlink()
    assert keys.context() is first
    ca_file(trustme.CA(), tmp_path)
    assert keys.context() is not first


# --- Consul over TLS ---
def follow(
    folder: Path,
    part: Callable[[Rig, Consul, Catalogue], Awaitable[None]],
    tls: ssl.SSLContext,
    **table: str,
) -> None:
    async def run() -> None:
        catalogue, node = Catalogue(), await CacheNode(serves).start()
        agent = await Consul(catalogue).start(tls=tls)
        catalogue.register("c0", node.port, address="127.0.0.1")
        operator = Operator(
            consul=ConsulTable(
                agents=(f"127.0.0.1:{agent.port}",), least_interval_s=0.01, wait_s=0.5, **table
            )
        )
        async with Rig(node, operator=operator) as rig:
            await part(rig, agent, catalogue)
        await agent.stop()

    asyncio.run(run())


def test_consul_is_followed_over_tls_with_a_client_certificate(tmp_path: Path) -> None:
    authority, ours = trustme.CA(), trustme.CA()
    mine = ours.issue_cert("proxy.example")
    mine.private_key_and_cert_chain_pem.write_to_path(str(tmp_path / "mine.pem"))

    async def part(rig: Rig, agent: Consul, catalogue: Catalogue) -> None:
        await wait_until(lambda: any("index" in request for request in agent.requests))
        catalogue.set_maintenance("c0", True)
        await wait_until(lambda: not rig.proxy.nodes)

    follow(
        tmp_path,
        part,
        server(authority, "consul.example", demands=ours),
        tls_ca_file=ca_file(authority, tmp_path),
        tls_cert_file=str(tmp_path / "mine.pem"),
        tls_name="consul.example",
    )


def test_an_authority_replaced_in_service_is_used(tmp_path: Path) -> None:
    old, new = trustme.CA(), trustme.CA()

    async def part(rig: Rig, agent: Consul, catalogue: Catalogue) -> None:
        await wait_until(lambda: any("index" in request for request in agent.requests))
        await agent.stop()
        request_count = len(agent.requests)
        await agent.start(agent.port, server(new))
        ca_file(new, tmp_path)  # the file is reloaded without a signal
        await wait_until(lambda: len(agent.requests) > request_count)
        catalogue.set_maintenance("c0", True)
        await wait_until(lambda: not rig.proxy.nodes)

    follow(tmp_path, part, server(old), tls_ca_file=ca_file(old, tmp_path))


def test_unusable_tls_files_make_the_configuration_invalid(tmp_path: Path) -> None:
    raw: Any = configuration(1, [])
    authority = trustme.CA()
    path = ca_file(authority, tmp_path)
    locked, mine = tmp_path / "locked.pem", authority.issue_cert("proxy.example")
    key = serialization.load_pem_private_key(mine.private_key_pem.bytes(), None)
    locked.write_bytes(
        mine.cert_chain_pems[0].bytes()
        + key.private_bytes(
            serialization.Encoding.PEM,
            serialization.PrivateFormat.PKCS8,
            serialization.BestAvailableEncryption(b"word"),
        )
    )
    for text in (
        f"tls_ca_file = '{tmp_path}/none.pem'",
        f"tls_ca_file = '{path}'\ntls_cert_file = '{path}'",
        # An error, and no prompt for the password.
        f"tls_ca_file = '{path}'\ntls_cert_file = '{locked}'",
    ):
        with pytest.raises(ConfigError, match=r"\[consul\] tls files: .*pem") as raised:
            loaded(tmp_path, raw, f"[consul]\n{text}")
        assert "\n" not in str(raised.value)
    assert "locked with a password" in str(raised.value)
    assert loaded(tmp_path, raw, f"[consul]\ntls_ca_file = '{path}'")


def test_a_peer_that_closes_during_the_handshake(tmp_path: Path) -> None:
    async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        await reader.read(10)
        writer.close()

    async def part(stream: TlsStream, owner: Owner) -> None:
        await with_timeout(asyncio.sleep(0))
        await wait_until(lambda: owner.has("lost"))

    connected(tmp_path, part, serve, None, TlsFiles(ca_file(trustme.CA(), tmp_path)))
