"""Tests of several daemon processes under faults: real, simulated and model-checked ones."""
