"""Calls in flight at the store, with a manual clock and without sockets."""

from manualtask import ManualPool, ManualTask

from bamboolever.config.storecalls import MAX_CALLS, StoreCall, StoreCalls
from bamboolever.net.addresses import Address
from bamboolever.net.fetch import MIN_PROGRESS_BYTES
from bamboolever.net.messages import Request
from bamboolever.net.responsetimes import MAX_OVERDUE_S, ResponseTimes

REQUEST = Request(b"GET", b"/", ())


def test_call_without_room_is_reported_so_that_it_is_tried_again():
    """Guards against a watch that sends no call any more.

    All calls in flight were overdue and had brought bytes just before.
    """
    task = ManualTask()
    pool = ManualPool(task)
    overdue = []
    calls = StoreCalls(
        task,
        pool,
        lambda: Address("127.0.0.1", 7000),
        ResponseTimes(),
        lambda call, result: None,
        overdue.append,
    )

    def send():
        calls.send(StoreCall(task.now()), REQUEST, 2**20)

    for _ in range(MAX_CALLS):
        send()
        task.advance(MAX_OVERDUE_S)
    for _, handler in pool.sent:
        handler.on_data(b" " * MIN_PROGRESS_BYTES)
    reports = len(overdue)
    send()
    assert len(pool.sent) == MAX_CALLS
    assert len(overdue) == reports + 1
    task.advance(MAX_OVERDUE_S)
    send()
    assert len(pool.sent) == MAX_CALLS + 1
