"""The crush rehearsed before a deploy: scenarios, runs on the virtual clock, scores, reports."""
