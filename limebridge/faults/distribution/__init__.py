"""Distribution of records under faults: plans, a judge, a simulated world, a rig of processes."""
