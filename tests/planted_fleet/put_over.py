"""Planted: a log's position is replaced by whoever comes last, not linked where there is none."""

import os

from violetroute.fleet.folder import FolderStore


def plant():
    link = os.link

    def replaces(source, name):
        if "/log/" in str(name):
            os.replace(source, name)
        else:
            link(source, name)

    os.link = replaces
    assert FolderStore
