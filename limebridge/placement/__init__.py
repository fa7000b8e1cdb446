"""Planner of the share of the keys of each cache node, under capacity, cost and site constraints.

`fleet` defines the operator's fleet file, `model` turns it into rows of a linear program (pure),
`solver` computes the shares with HiGHS, and `conflict` finds constraints that cannot all be met and
how far each would have to be relaxed.  `plan` writes the file that the daemon reads, `publisher`
publishes plans when the fleet file changes, and `report` renders a page.
"""
