"""`limebridge fleet`: read-only views of a fleet's works, members and budgets."""
