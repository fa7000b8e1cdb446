"""Planted: an owner puts its records wherever the log ends, whoever has claimed it."""

from violetroute.fleet import job, log


def plant():
    def unchecked(kind, body):
        def put(log_, fence, nonce, name, decide=lambda: None):
            for _ in range(log.MAX_ATTEMPTS):
                yield from log.read_to_end(log_)
                data = log.encode(log.Record(1, log_.name, fence, nonce, kind, decide(), name))
                if (yield log.Put(log_.name, log_.next_position, data)):
                    log_.apply(data)
                    return log.Done(log_.next_position - 1)
            return log.Contended()

        return put

    job.claim, job.append = unchecked("claim", None), unchecked("entry", None)
    log.FenceGuard.admits = lambda self, fence, nonce: (
        setattr(self, "fence", fence),
        setattr(self, "nonce", nonce),
        True,
    )[2]
