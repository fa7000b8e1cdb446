"""Looking at the fleet's works from outside."""
