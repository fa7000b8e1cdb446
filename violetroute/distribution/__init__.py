"""Distributes versioned records from the control machines to every proxy, with acknowledgement.

See `docs/design/distribution.md`.
"""
