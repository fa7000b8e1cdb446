"""`python -m limebridge`, equivalent to the console script."""

from .cli import app

app()
