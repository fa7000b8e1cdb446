"""What the system costs at the size that it is built for: target, measured slopes, scale runs."""
