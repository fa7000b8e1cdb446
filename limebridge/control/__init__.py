"""`limebridge control`: control machines from the command line."""
