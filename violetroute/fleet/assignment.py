"""Who should own which work.  Pure.

Nobody assigns: each process reckons for itself, from the same names, the order in which those that
are ready for a work should ask (rendezvous hashing: whose leaving moves only its own works).  One
that has its fair share already stands behind those that have not.  Orders may differ for a moment
between processes that have seen different members; the lease decides, the order only keeps them
from asking all at once.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping, Sequence
from hashlib import blake2b

from .lease import IncarnationId

MAX_RANK = 8  # beyond it all ask at the same place: waits stay bounded however many wait


def preference_order(work: str, members: Iterable[IncarnationId]) -> list[IncarnationId]:
    """The candidates for a work, best first, by rendezvous hashing (Thaler, Ravishankar 1998).

    Members of one name are in the order of their nonces.
    """
    return sorted(members, key=lambda me: (_weight(work, me.name), me.nonce))


def _weight(work: str, name: str) -> bytes:
    return blake2b(f"{work}\0{name}".encode("utf-8", "surrogatepass"), digest_size=8).digest()


def fair_share(works: int, members: int) -> int:
    """The fair share of a member: works divided by members, rounded up."""
    return -(-works // max(1, members))


def ranks(
    works: Sequence[str],
    me: IncarnationId,
    members: Iterable[IncarnationId],
    held: Mapping[str, str],
) -> dict[str, int]:
    """The rank of `me` for each work: 0 asks first.  `held`: nonce of the owner, by work."""
    everyone = {*members, me}
    share = fair_share(len(works), len(everyone))
    counts = {each.nonce: 0 for each in everyone}
    for nonce in held.values():
        if nonce in counts:
            counts[nonce] += 1
    found = {}
    for work in works:
        full = [
            each
            for each in everyone
            if counts[each.nonce] >= share and held.get(work) != each.nonce
        ]
        ahead = preference_order(work, everyone)
        ahead.sort(key=lambda each: each in full)  # stable: the order within holds
        found[work] = min(MAX_RANK, ahead.index(me))
    return found


def surplus_work(
    works: Sequence[str],
    me: IncarnationId,
    members: Iterable[IncarnationId],
    held: Mapping[str, str],
) -> str | None:
    """A work of `me` that another member should own, or None.

    Only one who has more than its share hands on, and only while somebody has fewer than his: a
    fleet that is balanced moves nothing, whatever the orders say.
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
    """Ranks while the number of candidates is unknown: each has twice as many as the one before.

    Half of any fleet stands at the last place, a quarter before it, and so on: whatever its size,
    the first place with anybody in it has one or two on average.  Who owns works already stands a
    place further back for each.
    """
    mine = sum(nonce == me.nonce for nonce in held.values())
    found = {}
    for work in works:
        drawn = int.from_bytes(_weight(work, f"{me.name}/{me.nonce}"), "big")
        zeros = (drawn & -drawn).bit_length() - 1 if drawn else MAX_RANK
        found[work] = min(MAX_RANK, max(0, MAX_RANK - zeros) + mine)
    return found
