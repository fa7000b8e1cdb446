"""Injected bug: the content of an entry is decided before the log has been read to its end.

So a bill or a beat of the previous owner that was not read yet is written once more.
"""

from violetroute.fleet import job, log


def plant():
    def decide_first(log_, fence, nonce, name, decide):
        body = decide()
        if body is None:
            return log.NothingToAppend()
        return (yield from log.append(log_, fence, nonce, name, lambda: body))

    job.append = decide_first
