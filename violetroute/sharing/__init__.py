"""What proxies tell each other: who is there, budgets of the fleet, judgements of nodes, counts.

Pure are `members` (who is there), `loans` and `budget` (authority over a budget), `node_health`
(judgements), `counts` (heavy hitters), `gossip` (rounds) and `wire` (datagrams); `service` has the
socket and the timer.
A message is data from a stranger until its seal says otherwise, and from one who may be wrong, late
or twice afterwards.
"""
