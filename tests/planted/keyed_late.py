"""A keyed request is repeated past its window: up to 100 ms late."""
import snowstall.balance as balance


def plant():
    balance.REPEAT_MARGIN = -100.0
