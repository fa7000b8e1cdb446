"""The limebridge proxy daemon: network, logs and processes round the policy in snowstall."""
