"""Rehearses a load before a deployment: scenarios, runs on the virtual clock, scores, reports."""
