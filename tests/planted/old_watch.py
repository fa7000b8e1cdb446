"""Discovery's old watch is believed after a move."""
from violetroute.membership.native import Watch


def move(self, address):
    if address == self._address:
        return False
    self._address = address
    self._call = None  # not stopped
    return True


def plant():
    Watch.move = move
