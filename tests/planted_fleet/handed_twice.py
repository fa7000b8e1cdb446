"""Planted: a bill, or a beat, is decided before the log has been read to its end."""

from violetroute.fleet import job, log


def plant():
    def stale(log_, fence, nonce, name, decide):
        body = decide()
        if body is None:
            return log.NothingToAppend()
        return (yield from log.append(log_, fence, nonce, name, lambda: body))

    job.append = stale
