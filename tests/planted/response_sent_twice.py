"""Injected bug: a response is sent twice if the request had more than one attempt."""

from violetroute.clients.answers import Answer

original_finish = Answer.finish


def finish_twice(self, *parts):
    connection, request = self._connection, self.request
    original_finish(self, *parts)
    if request is not None and len(request.attempts) > 1 and connection._stream is not None:
        connection._stream.write(b"".join(parts))


def plant():
    Answer.finish = finish_twice
