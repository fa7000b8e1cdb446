"""Test doubles of the daemon's peers; they use asyncio alone, so any event loop can run them."""
