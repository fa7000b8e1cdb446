"""Which candidate should own which work.  Pure.

There is no central assignment.  Each process computes the order of the candidates of a work by
rendezvous hashing over the same names, so a member that leaves moves only its own works.  Members
that own their fair share already come after those that do not.  The orders of two processes may
differ while they know different members.  The lease decides who owns the work; the order only
avoids that all candidates acquire it at once.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping, Sequence
from hashlib import blake2b

from .lease import IncarnationId

MAX_RANK = 8  # all further candidates have this rank, which bounds their wait


def preference_order(work: str, members: Iterable[IncarnationId]) -> list[IncarnationId]:
    """The candidates of a work, best first, by rendezvous hashing (Thaler, Ravishankar 1998).

    Members with the same name are sorted by nonce.
    """
    return sorted(members, key=lambda member: (_weight(work, member.name), member.nonce))


def _weight(work: str, name: str) -> bytes:
    return blake2b(f"{work}\0{name}".encode("utf-8", "surrogatepass"), digest_size=8).digest()


def fair_share(works: int, members: int) -> int:
    """The fair share of one member: works divided by members, rounded up."""
    return -(-works // max(1, members))


def ranks(
    works: Sequence[str],
    me: IncarnationId,
    members: Iterable[IncarnationId],
    held: Mapping[str, str],
) -> dict[str, int]:
    """The rank of `me` for each work; rank 0 acquires first.  `held`: the owner's nonce by work."""
    everyone = {*members, me}
    share = fair_share(len(works), len(everyone))
    counts = {each.nonce: 0 for each in everyone}
    for nonce in held.values():
        if nonce in counts:
            counts[nonce] += 1
    by_work = {}
    for work in works:
        full = [
            each
            for each in everyone
            if counts[each.nonce] >= share and held.get(work) != each.nonce
        ]
        candidates = preference_order(work, everyone)
        candidates.sort(key=lambda each: each in full)  # stable: keeps the order within both parts
        by_work[work] = min(MAX_RANK, candidates.index(me))
    return by_work


def surplus_work(
    works: Sequence[str],
    me: IncarnationId,
    members: Iterable[IncarnationId],
    held: Mapping[str, str],
) -> str | None:
    """The work of `me` that should be transferred to another member, or None.

    A work is transferred only if `me` has more than its fair share and another member has less, so
    a balanced fleet transfers nothing, whatever the preference orders are.
    """
    everyone = {*members, me}
    share = fair_share(len(works), len(everyone))
    counts = {each.nonce: sum(nonce == each.nonce for nonce in held.values()) for each in everyone}
    if counts[me.nonce] <= share or min(counts.values()) >= share:
        return None
    mine = sorted(work for work in works if held.get(work) == me.nonce)
    return max(mine, key=lambda work: preference_order(work, everyone).index(me))


def random_ranks(
    works: Sequence[str], me: IncarnationId, held: Mapping[str, str]
) -> dict[str, int]:
    """Pseudo-random ranks for an unknown number of candidates, by work.

    Each rank has on average twice as many candidates as the one before it: half of the fleet has
    the last rank, a quarter the one before.  So the lowest rank in use has one or two candidates on
    average, whatever the size of the fleet.  Each work that `me` owns already adds 1 to its ranks.
    """
    mine = sum(nonce == me.nonce for nonce in held.values())
    by_work = {}
    for work in works:
        hashed = int.from_bytes(_weight(work, f"{me.name}/{me.nonce}"), "big")
        trailing_zeros = (hashed & -hashed).bit_length() - 1 if hashed else MAX_RANK
        by_work[work] = min(MAX_RANK, max(0, MAX_RANK - trailing_zeros) + mine)
    return by_work
