"""limebridge: command line and test kit of the daemon, which never imports this package."""
