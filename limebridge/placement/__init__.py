"""Shares of the keys for cache nodes, worked out ahead under capacity, cost and site constraints.

`fleet` is the file that an operator writes, `model` turns it into named rows (pure), `solver`
finds the shares with HiGHS, `conflict` says which constraints cannot all be met and by how much
each would have to give, `plan` is the file that the daemon reads.
"""
