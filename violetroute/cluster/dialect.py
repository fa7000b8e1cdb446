"""Redis Cluster commands about the connection and the cluster.  Pure.

Requests (OBJ.GET, OBJ.SET) are handled elsewhere; this module only decides by their slot whether
another proxy serves them.  Error texts are those of Redis, since clients match them.  All answers
come from memory, and the limits on a command bound their cost.
"""

from __future__ import annotations

import itertools
from collections.abc import Callable, Sequence
from dataclasses import dataclass

from .encode import encode
from .slots import key_slot
from .topology import Topology

MAX_NAME_BYTES = 128  # longest client name
VERSION = b"7.0.0"  # the Redis version whose command set the answers follow
# name: arity, flags, first key, last key, step, summary (see COMMAND INFO and COMMAND DOCS)
COMMANDS: dict[bytes, tuple[int, tuple[str, ...], int, int, int, bytes]] = {
    b"obj.get": (4, ("readonly", "fast"), 1, 1, 1, b"Reads the object of a key."),
    b"obj.set": (5, ("write",), 1, 1, 1, b"Writes the object of a key."),
    b"ping": (-1, ("fast",), 0, 0, 0, b"Tells that the server is there."),
    b"echo": (2, ("fast",), 0, 0, 0, b"Returns its argument."),
    b"hello": (-1, ("fast",), 0, 0, 0, b"Chooses the protocol."),
    b"client": (-2, (), 0, 0, 0, b"Is about the connection."),
    b"cluster": (-2, (), 0, 0, 0, b"Is about the cluster."),
    b"command": (-1, (), 0, 0, 0, b"Tells of commands."),
    b"select": (2, ("fast",), 0, 0, 0, b"Chooses the database, of which there is one."),
    b"asking": (1, ("fast",), 0, 0, 0, b"Follows a redirection to an importing node."),
    b"readonly": (1, ("fast",), 0, 0, 0, b"Allows reads from replicas."),
    b"readwrite": (1, ("fast",), 0, 0, 0, b"Forbids reads from replicas."),
    b"info": (-1, (), 0, 0, 0, b"Tells of the server."),
    b"reset": (1, ("fast",), 0, 0, 0, b"Resets the connection."),
    b"quit": (-1, ("fast",), 0, 0, 0, b"Ends the connection."),
}
# Multi-key commands that clients know and that are not supported, with the step between their keys.
MULTI_KEY_COMMANDS = {
    b"mget": 1,
    b"mset": 2,
    b"msetnx": 2,
    b"del": 1,
    b"unlink": 1,
    b"exists": 1,
    b"touch": 1,
}
CROSS_SLOT = "CROSSSLOT Keys in request don't hash to the same slot"


class ErrorReply(Exception):
    """The text of an error line, without the leading dash."""


@dataclass(slots=True)
class Session:
    """The protocol state of one connection."""

    id: int
    version: int = 2  # RESP version
    name: bytes = b""
    ends: bool = False  # set by QUIT: the connection closes after the answer


class Dialect:
    """Answers the commands for one topology; each connection keeps its own Session."""

    def __init__(self, topology: Topology) -> None:
        self.topology = topology
        self._ids = itertools.count(1)
        self._handlers: dict[bytes, Callable[[Session, list[bytes]], object]] = {
            b"ping": self._ping,
            b"echo": lambda session, args: args[0],
            b"hello": self._hello,
            b"client": self._client,
            b"cluster": self._cluster,
            b"command": self._command,
            b"select": self._select,
            b"info": self._info,
            b"reset": self._reset,
            b"quit": self._quit,
        }

    def session(self) -> Session:
        """A session for a new connection."""
        return Session(next(self._ids))

    def moved_reply(self, key: bytes) -> bytes | None:
        """The MOVED line for a request with this key; None if it is served here."""
        return self.topology.moved_reply(key_slot(key)) if self.topology.foreign_moved else None

    def answer(self, session: Session, words: Sequence[bytes | bytearray]) -> bytes | None:
        """The encoded answer; None for a request, which is not handled here."""
        name = bytes(words[0]).lower()
        if name.startswith(b"obj."):
            return None
        args = [bytes(word) for word in words[1:]]
        try:
            return encode(self._execute(session, name, args), session.version)
        except ErrorReply as error:
            return b"-%b\r\n" % str(error).encode()

    def _execute(self, session: Session, name: bytes, args: list[bytes]) -> object:
        known = COMMANDS.get(name)
        if known is None:
            self._check_cross_slot(name, args)
            raise ErrorReply(
                f"ERR unknown command '{_printable(name)}', with args beginning with: "
                + "".join(f"'{_printable(arg)}' " for arg in args[:4])
            )
        _check_arity(name, known[0], len(args) + 1)
        handler = self._handlers.get(name)
        return "OK" if handler is None else handler(session, args)

    @staticmethod
    def _check_cross_slot(name: bytes, args: list[bytes]) -> None:
        step = MULTI_KEY_COMMANDS.get(name)
        if step is not None and len({key_slot(key) for key in args[::step]}) > 1:
            raise ErrorReply(CROSS_SLOT)

    # --- the connection ---
    @staticmethod
    def _ping(session: Session, args: list[bytes]) -> object:
        if len(args) > 1:
            raise ErrorReply("ERR wrong number of arguments for 'ping' command")
        return args[0] if args else "PONG"

    def _hello(self, session: Session, args: list[bytes]) -> object:
        rest, name, version = list(args), session.name, session.version
        if rest:
            wanted = rest.pop(0)
            if wanted not in (b"2", b"3"):
                raise ErrorReply(
                    "NOPROTO unsupported protocol version"
                    if wanted.isdigit()
                    else "ERR Protocol version is not an integer or out of range"
                )
            version = int(wanted)
        while rest:
            option = rest.pop(0).lower()
            if option == b"auth" and len(rest) >= 2:
                raise ErrorReply(
                    "ERR AUTH called without any password configured for the default "
                    "user. Are you sure your configuration is correct?"
                )
            if option != b"setname" or not rest:
                raise ErrorReply(f"ERR Syntax error in HELLO option '{_printable(option)}'")
            name = _checked_name(rest.pop(0))
        session.version, session.name = version, name
        return {
            b"server": b"redis",
            b"version": VERSION,
            b"proto": version,
            b"id": session.id,
            b"mode": b"cluster",
            b"role": b"master",
            b"modules": [],
        }

    def _client(self, session: Session, args: list[bytes]) -> object:
        match [args[0].lower(), *args[1:]]:
            case [b"setname", name]:
                session.name = _checked_name(name)
                return "OK"
            case [b"setinfo", option, _] if option.lower() in (b"lib-name", b"lib-ver"):
                return "OK"
            case [b"id"]:
                return session.id
            case [b"getname"]:
                return session.name
            case [b"no-evict" | b"no-touch", switch] if switch.lower() in (b"on", b"off"):
                return "OK"
        raise _subcommand_error(
            b"client",
            args,
            {b"setname": 3, b"setinfo": 4, b"id": 2, b"getname": 2, b"no-evict": 3, b"no-touch": 3},
        )

    @staticmethod
    def _select(session: Session, args: list[bytes]) -> object:
        if args[0] != b"0":
            raise ErrorReply("ERR SELECT is not allowed in cluster mode")
        return "OK"

    @staticmethod
    def _reset(session: Session, args: list[bytes]) -> object:
        session.version, session.name = 2, b""
        return "RESET"

    @staticmethod
    def _quit(session: Session, args: list[bytes]) -> object:
        session.ends = True
        return "OK"

    def _info(self, session: Session, args: list[bytes]) -> object:
        return (
            b"# Server\r\nredis_version:%b\r\nredis_mode:cluster\r\n\r\n"
            b"# Replication\r\nrole:master\r\nconnected_slaves:0\r\n\r\n"
            b"# Cluster\r\ncluster_enabled:1\r\n" % VERSION
        )

    # --- the cluster ---
    def _cluster(self, session: Session, args: list[bytes]) -> object:
        topology = self.topology
        match [args[0].lower(), *args[1:]]:
            case [b"slots"]:
                return topology.slots()
            case [b"shards"]:
                return topology.shards()
            case [b"nodes"]:
                return topology.nodes()
            case [b"info"]:
                return topology.info()
            case [b"myid"]:
                return topology.members[topology.own_index].id.encode()
            case [b"links"]:
                return []
            case [b"keyslot", key]:
                return key_slot(key)
            case [b"countkeysinslot", _]:
                raise ErrorReply("ERR a proxy holds no keys to count")
        raise _subcommand_error(
            b"cluster",
            args,
            {
                b"slots": 2,
                b"shards": 2,
                b"nodes": 2,
                b"info": 2,
                b"myid": 2,
                b"links": 2,
                b"keyslot": 3,
                b"countkeysinslot": 3,
            },
        )

    # --- commands ---
    def _command(self, session: Session, args: list[bytes]) -> object:
        if not args:
            return [_command_info(name) for name in COMMANDS]
        match [args[0].lower(), *args[1:]]:
            case [b"count"]:
                return len(COMMANDS)
            case [b"info", *names]:
                return [_command_info(name.lower()) for name in (names or COMMANDS)]
            case [b"docs", *names]:
                return {
                    name: {b"summary": COMMANDS[name][5], b"since": b"1.0.0", b"group": b"generic"}
                    for name in (map(bytes.lower, names) if names else COMMANDS)
                    if name in COMMANDS
                }
            case [b"getkeys", name, *rest]:
                return _command_keys(name.lower(), rest)
        raise _subcommand_error(b"command", args, {b"count": 2, b"getkeys": -3})


def _command_info(name: bytes) -> object:
    """The entry of one command in COMMAND INFO; None for an unknown command."""
    known = COMMANDS.get(name)
    if known is None:
        return None
    arity, flags, first, last, step, _ = known
    return [name, arity, list(flags), first, last, step, [], [], [], []]


def _command_keys(name: bytes, args: list[bytes]) -> object:
    known = COMMANDS.get(name)
    if known is None:
        raise ErrorReply("ERR Invalid command specified")
    if not known[2]:
        raise ErrorReply("ERR The command has no key arguments")
    if len(args) + 1 != known[0]:
        raise ErrorReply("ERR Invalid number of arguments specified for command")
    return [args[known[2] - 1]]


def _check_arity(name: bytes, arity: int, count: int) -> None:
    if count != arity if arity > 0 else count < -arity:
        raise ErrorReply(f"ERR wrong number of arguments for '{_printable(name)}' command")


def _subcommand_error(command: bytes, args: list[bytes], known: dict[bytes, int]) -> ErrorReply:
    name = args[0].lower()
    if name in known:
        return ErrorReply(
            f"ERR wrong number of arguments for '{_printable(command)}|{_printable(name)}' command"
        )
    return ErrorReply(
        f"ERR unknown subcommand '{_printable(args[0])}'. Try {command.decode().upper()} HELP."
    )


def _checked_name(name: bytes) -> bytes:
    if len(name) > MAX_NAME_BYTES or any(not 33 <= letter <= 126 for letter in name):
        raise ErrorReply("ERR Client names cannot contain spaces, newlines or special characters.")
    return name


def _printable(text: bytes) -> str:
    """Text of a client with unprintable characters and quotes replaced, for an error line."""
    return "".join(chr(c) if 32 <= c < 127 and c != 39 else "?" for c in text[:64])
