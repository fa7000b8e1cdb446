"""limebridge: the command line and the kit round the daemon; the daemon never imports it."""
