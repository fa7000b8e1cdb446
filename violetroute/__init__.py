"""The limebridge proxy daemon: network, logs and processes around the policy in snowstall."""
