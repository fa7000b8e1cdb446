"""Injected bug: a put replaces the record at its position, instead of failing if there is one."""

import os

from violetroute.fleet.folder import FolderStore


def plant():
    link = os.link

    def replace_record(source, name):
        if "/log/" in str(name):
            os.replace(source, name)
        else:
            link(source, name)

    os.link = replace_record
    assert FolderStore
