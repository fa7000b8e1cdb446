"""Injected bug: an owner appends records at the end of the log without checking who claimed it."""

from violetroute.fleet import job, log


def plant():
    def without_check(kind, body):
        def append_record(log_, fence, nonce, name, decide=lambda: None):
            for _ in range(log.MAX_ATTEMPTS):
                yield from log.read_to_end(log_)
                data = log.encode(log.Record(1, log_.name, fence, nonce, kind, decide(), name))
                if (yield log.Put(log_.name, log_.next_position, data)):
                    log_.apply(data)
                    return log.Done(log_.next_position - 1)
            return log.Contended()

        return append_record

    job.claim, job.append = without_check("claim", None), without_check("entry", None)
    log.FenceGuard.admits = lambda self, fence, nonce: (
        setattr(self, "fence", fence),
        setattr(self, "nonce", nonce),
        True,
    )[2]
