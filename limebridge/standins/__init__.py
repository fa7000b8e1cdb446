"""Stand-ins for the daemon's peers, against asyncio alone: any event loop can run them."""
