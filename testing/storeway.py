"""The way of one process to a store, which can be cut apart from those of others."""

from bamboolever.net.exchange import ExchangeFailure, FailureKind


class _Call:
    """A call on its way; nothing reaches its handler once the way was cut."""

    def __init__(self, handler):
        self.handler = handler
        self.is_ended = False
        self.inner = None

    def cancel(self):
        self.is_ended = True
        if self.inner is not None:
            self.inner.cancel()

    def accepts(self, head):
        return self.handler.accepts(head)

    def on_head(self, head):
        if not self.is_ended:
            self.handler.on_head(head)

    def on_data(self, data):
        if not self.is_ended:
            self.handler.on_data(data)

    def on_end(self):
        if not self.is_ended:
            self.is_ended = True
            self.handler.on_end()


class StoreWay:
    """A pool that passes calls on to the store, unless it is cut.

    A cut with ``is_silent`` loses calls and responses, another one resets them.
    """

    def __init__(self, task, store):
        self.task = task
        self.store = store
        self.buffers = store.buffers
        self.is_cut = False
        self.is_silent = False
        self.sent_count = 0
        self._calls = []

    def cut(self, *, is_silent=False):
        self.is_cut = True
        self.is_silent = is_silent
        calls, self._calls = self._calls, []
        for call in calls:
            if not call.is_ended:
                self._end(call, FailureKind.RESET)

    def heal(self):
        self.is_cut = False

    def send(self, address, request, handler):
        call = _Call(handler)
        self.sent_count += 1
        if self.is_cut:
            self.task.call_later(0.001, lambda: self._end(call, FailureKind.CONNECT))
        else:
            self._calls = [each for each in self._calls if not each.is_ended]
            self._calls.append(call)
            call.inner = self.store.send(address, request, call)
        return call

    def _end(self, call, kind):
        if call.is_ended:
            return
        if call.inner is not None:
            call.inner.cancel()
        call.is_ended = True
        if not self.is_silent:
            call.handler.on_failure(ExchangeFailure(kind, False, "cut"))
