"""Planted: an owner puts its records wherever the log ends, whoever has claimed it."""

from violetroute.fleet import job, log


def plant():
    def unchecked(kind, body):
        def put(log_, fence, nonce, name, decide=lambda: None):
            for _ in range(log.TRIES):
                yield from log.read(log_)
                data = log.encode(log.Record(1, log_.name, fence, nonce, kind, decide(), name))
                if (yield log.Put(log_.name, log_.next, data)):
                    log_.take(data)
                    return log.Done(log_.next - 1)
            return log.Crowded()

        return put

    job.claim, job.append = unchecked("claim", None), unchecked("entry", None)
    log.Seal.admits = lambda self, fence, nonce: (
        setattr(self, "fence", fence),
        setattr(self, "nonce", nonce),
        True,
    )[2]
