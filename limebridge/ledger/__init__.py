"""`limebridge ledger`: shows, verifies, reconciles and corrects ledgers."""
