"""What an operator does with ledgers: show, verify, reconcile, correct."""
