"""`python -m limebridge`, the same as the console script."""

from .cli import app

app()
