"""violetroute: the node on real sockets round the decisions of snowstall."""
