"""The seam to the kernel."""
