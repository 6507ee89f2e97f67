"""Records what a response's head states of its upstream, whatever the outcome."""

from bamboolever.calls.upstream import UpstreamView
from bamboolever.daemons.relaycontext import RelayContext
from bamboolever.net.client import ClientConnection
from bamboolever.net.messages import ResponseHead
from bamboolever.platform import calls as wire


def note_response(
    context: RelayContext,
    view: UpstreamView,
    head: ResponseHead,
    sent_at: float,
    model: str | None,
) -> None:
    """Take version, start, availability, limit and load from a response of ``view``.

    ``sent_at`` is the task's time in seconds when its request was sent, for ``model``
    if it named one. What does not decode is counted and ignored.
    """
    version = wire.response_version(head)
    if version is not None and model is not None:
        view.on_stated_version(model, version, context.task.now())
    view.cold.on_response(sent_at, context.task.now())
    _note_availability(context, view, head)
    _note_limit(context, view, head, sent_at)
    _note_load(context, view, head)
    for name, value in wire.find_unknown_headers(head):
        context.on_unknown_header(
            view, name.lower().decode("latin-1"), value.decode("latin-1")
        )


def may_be_of_another_request(
    head: ResponseHead, connection: ClientConnection | None
) -> bool:
    """Return whether a response may belong to an earlier request of its connection.

    One that repeats an attempt id does not; on a new connection there was none.
    """
    if wire.echoed_attempt_id(head) is not None or connection is None:
        return False
    return connection.request_count > 1


def _note_availability(
    context: RelayContext, view: UpstreamView, head: ResponseHead
) -> None:
    if wire.is_upstream_leaving(head) and not view.is_leaving:
        view.is_leaving = True
        context.on_upstream_closed(view, "leaving", None)
    if wire.is_misdirected(head):
        view.on_misdirected(context.task.now())
    retry_after_s = wire.upstream_retry_after_s(head)
    if retry_after_s is not None:
        view.close_for(retry_after_s, context.task.now())
        context.on_upstream_closed(view, "retry-after", retry_after_s)


def _note_limit(
    context: RelayContext, view: UpstreamView, head: ResponseHead, sent_at: float
) -> None:
    if not wire.states_limit(head):
        return
    try:
        per_s = wire.upstream_limit_per_s(head)
    except wire.HeaderError as error:
        context.on_malformed_limit(view, error)
        return
    context.on_limit_stated(view, per_s, sent_at)


def _note_load(context: RelayContext, view: UpstreamView, head: ResponseHead) -> None:
    try:
        load = wire.stated_load(head)
    except wire.HeaderError:
        context.count("upstream.malformed_load", service=view.record.service)
        return
    if load is not None:
        view.on_stated_load(load, context.task.now())
