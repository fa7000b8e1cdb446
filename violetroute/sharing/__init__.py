"""Gossip between proxies: membership, fleet-wide budgets, node health and heavy hitters.

Pure modules decide: `members` (membership), `loans` and `budget` (authority over a budget),
`node_health`, `load_reports` and `heavy_hitters` (reports), `gossip` (rounds) and `wire`
(datagrams).  `service` has the socket and the timer.  A datagram is not trusted until its MAC is
verified; after that it may still be wrong, late or duplicated.
"""
