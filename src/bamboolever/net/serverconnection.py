"""One accepted HTTP/1.1 connection: reads requests, sends their responses.

Handlers see complete requests only. Requests that are slow, malformed or over a
limit are rejected here.
"""

import logging
import socket
from collections.abc import Sequence
from typing import TYPE_CHECKING, Any

import h11

from bamboolever._task import READ, WRITE
from bamboolever.net.connectionstate import ConnectionState
from bamboolever.net.delivery import DeliveryWait
from bamboolever.net.messages import Header
from bamboolever.net.requestbuffer import RequestBuffer
from bamboolever.net.requestheads import expects_continue, find_head_fault
from bamboolever.net.sockets import (
    count_undelivered_bytes,
    count_unread_bytes,
    set_stream_options,
)
from bamboolever.net.timers import RearmableTimer

if TYPE_CHECKING:
    from bamboolever.net.server import HttpServer

logger = logging.getLogger(__name__)

RECEIVE_BYTES = 64 * 1024
# Parts of a request that one connection parses before others get their turn.
MAX_EVENTS_PER_TURN = 64
# Received while another response is due; more stays with the kernel.
MAX_PIPELINED_BYTES = 16 * 1024
MAX_STREAM_BUFFER_BYTES = 4 * 2**20
TCP_USER_TIMEOUT_S = 10.0


class ServerConnection:
    """An accepted connection that serves one request at a time.

    The response methods do nothing once the connection is closed.
    """

    def __init__(self, server: "HttpServer", sock: socket.socket):
        self._server = server
        self._task = server.task
        self._sock = sock
        limit = server.limits.max_header_bytes
        self._http = h11.Connection(h11.SERVER, max_incomplete_event_size=limit)
        self._request: RequestBuffer | None = None
        self._request_bytes = 0
        self._send_buffer = bytearray()
        self._reported_bytes = 0
        self._events = READ
        self._is_closed = False
        self._is_closing = False
        self._has_served = False
        self._is_turn_due = False
        self._pipelined_bytes = 0
        self._is_cut = False
        self._is_response_due = False
        self._is_head_sent = False
        # A response to a HEAD request states the length of a body that it leaves out.
        self._is_body_allowed = True
        self._timer = RearmableTimer(self._task)
        self._delivery = DeliveryWait(self._task, sock, self.close)
        sock.setblocking(False)
        set_stream_options(sock, TCP_USER_TIMEOUT_S)
        self._task.register(sock, READ, self._on_ready)
        self._arm_timer(server.limits.idle_timeout_s)

    @property
    def is_response_due(self) -> bool:
        """Whether a response is due."""
        return self._is_response_due

    @property
    def is_head_sent(self) -> bool:
        """Whether the head of the due response has been sent."""
        return self._is_head_sent

    @property
    def queued_bytes(self) -> int:
        """Bytes that are buffered because the caller does not read them yet."""
        return len(self._send_buffer)

    def state(self) -> ConnectionState:
        """Return what is unfinished on this connection."""
        try:
            caller_port = self._sock.getpeername()[1]
        except OSError:
            # The caller has reset the connection.
            caller_port = None
        return ConnectionState(
            caller_port,
            self._is_request_begun,
            self._is_response_due,
            self._is_head_sent,
            self._arriving_body_bytes + len(self._http.trailing_data[0]),
            len(self._send_buffer),
            count_undelivered_bytes(self._sock),
        )

    @property
    def _arriving_body_bytes(self) -> int:
        return 0 if self._request is None else self._request.body_bytes

    @property
    def _is_request_begun(self) -> bool:
        """Whether some bytes of a request without a response have been received.

        They count from when the kernel has them.
        """
        if self._is_closing:
            return False
        return self._request is not None or self._has_unparsed_bytes

    @property
    def _has_unparsed_bytes(self) -> bool:
        return bool(self._http.trailing_data[0] or count_unread_bytes(self._sock))

    @property
    def is_idle(self) -> bool:
        """Whether no request has begun to arrive, and callers have all responses.

        A response counts once the caller has acknowledged its last byte. Before, bytes
        that the caller sends may reset the connection as it is closed.
        """
        return not self._is_request_begun and not self.is_in_use

    @property
    def is_in_use(self) -> bool:
        """Whether a response is due, or the caller does not have all of its responses.

        False while a request arrives: nothing has been accepted yet.
        """
        if self._is_response_due or self._send_buffer:
            return True
        return bool(count_undelivered_bytes(self._sock))

    @property
    def has_served(self) -> bool:
        """Whether a response has been sent on this connection."""
        return self._has_served

    def reject_incomplete(self, status: int, reason: str) -> None:
        """Reject the request that is arriving, if there is one."""
        if self._is_request_begun and self._can_process:
            self._reject(status, reason)

    def respond(
        self, status: int, headers: Sequence[Header], body: bytes = b""
    ) -> None:
        """Send a complete response with the given status, headers and body."""
        if self._is_closed:
            return
        length = (b"Content-Length", str(len(body)).encode())
        self._send_head(status, [*headers, length])
        self._send_body(body)
        self._end_response()

    def start(self, status: int, headers: Sequence[Header]) -> None:
        """Send the head of a streamed response; `send` adds its body."""
        if self._is_closed:
            return
        self._send_head(status, [*headers, (b"Transfer-Encoding", b"chunked")])
        self._flush()

    def send(self, data: bytes) -> None:
        """Send a part of the body of a streamed response.

        The response is cut when more than `MAX_STREAM_BUFFER_BYTES` wait for a caller
        that does not read them.
        """
        if self._is_closed or not data:
            return
        self._send_body(data)
        self._flush()
        if len(self._send_buffer) > MAX_STREAM_BUFFER_BYTES:
            self.cut_later()

    def finish(self) -> None:
        """Mark a streamed response as complete."""
        if not self._is_closed:
            self._end_response()

    def abort(self) -> None:
        """Close the connection so that the caller sees an incomplete response."""
        if self._is_closed:
            return
        self._is_response_due = False
        self._flush()
        self._mark_incomplete()
        self.close()

    def cut_later(self) -> None:
        """Drop the bytes that the caller has not read, and close the connection soon.

        The caller sees an incomplete response. Closing calls the handler, which may be
        on the call stack now.
        """
        if self._is_closed or self._is_cut:
            return
        self._is_cut = True
        self._server.handler.on_cut(self, len(self._send_buffer))
        self._task.send(self._cut)

    def _cut(self) -> None:
        if self._is_closed:
            return
        self._mark_incomplete()
        self.close()

    def _mark_incomplete(self) -> None:
        if self._http.their_http_version != b"1.1" and not self._is_closed:
            # Before HTTP/1.1 there is no chunked coding, and the end of the stream
            # completes a response. A reset (linger of zero) marks it as incomplete.
            linger_option = b"\x01\x00\x00\x00\x00\x00\x00\x00"
            self._sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger_option)

    def close(self) -> None:
        """Close the socket.

        Calls `RequestHandler.on_caller_gone` when a response is due.
        """
        if self._is_closed:
            return
        self._is_closed = True
        self._timer.disarm()
        self._delivery.cancel()
        self._task.unregister(self._sock)
        self._sock.close()
        self._send_buffer = bytearray()
        self._report_queued_bytes()
        self._release_request()
        self._server.remove_connection(self)
        if self._is_response_due:
            self._is_response_due = False
            self._server.handler.on_caller_gone(self)

    def _send_head(self, status: int, headers: list[Header]) -> None:
        self._is_head_sent = True
        # A next request that has arrived would be lost behind a last response.
        if self._server.is_stopping and not self._has_unparsed_bytes:
            headers = [*headers, (b"Connection", b"close")]
        self._send_event(h11.Response(status_code=status, headers=headers))

    def _send_event(self, event: Any) -> None:
        data = self._http.send(event)
        if data:
            self._send_buffer += data

    def _send_body(self, data: bytes) -> None:
        if data and self._is_body_allowed:
            self._send_event(h11.Data(data=data))

    def _end_response(self) -> None:
        self._send_event(h11.EndOfMessage())
        self._is_body_allowed = True
        self._is_response_due = False
        self._is_head_sent = False
        self._has_served = True
        self._release_request()
        if self._http.our_state is h11.DONE and self._http.their_state is h11.DONE:
            self._http.start_next_cycle()
            self._arm_timer(self._server.limits.idle_timeout_s)
        else:
            self._is_closing = True
        self._flush()
        if not self._is_closed and not self._is_closing and not self._send_buffer:
            # A pipelined request may be buffered. It is processed in a later step,
            # because the handler that responds is still on the call stack.
            self._task.send(self._process_events)

    def _on_ready(self, events: int) -> None:
        if events & WRITE:
            self._flush()
            if self._can_process:
                self._resume()
        if events & READ and not self._is_closed:
            self._receive()

    def _resume(self) -> None:
        """Process the requests that arrived while an earlier response was not read."""
        if self._request is None:
            delay_s = self._server.limits.idle_timeout_s
            if self._http.trailing_data[0]:
                delay_s = self._server.limits.header_timeout_s
            self._arm_timer(delay_s)
        self._process_events()

    def _receive(self) -> None:
        try:
            data = self._sock.recv(self._find_receive_bytes())
        except BlockingIOError:
            return
        except OSError as error:
            logger.debug("caller connection failed: %s", error)
            self.close()
            return
        if not data:
            self.close()
            return
        if self._is_closing:
            return
        if self._can_process and self._request is None:
            self._arm_header_timer()
        self._http.receive_data(data)
        if self._can_process:
            self._process_events()
            return
        self._pipelined_bytes += len(data)
        self._update_events()

    def _find_receive_bytes(self) -> int:
        """Return how much to read: little while it may be the next requests."""
        is_body_arriving = self._request is not None and self._can_process
        return RECEIVE_BYTES if is_body_arriving else MAX_PIPELINED_BYTES

    @property
    def _can_process(self) -> bool:
        # The next request waits until the caller has read the previous response, so
        # that pipelined requests cannot fill memory with unread responses.
        return not (
            self._is_response_due
            or self._is_closed
            or self._is_closing
            or self._send_buffer
        )

    def _process_events(self) -> None:
        """Process what was received, at most `MAX_EVENTS_PER_TURN`; the rest later."""
        self._is_turn_due = False
        if self._can_process:
            self._pipelined_bytes = 0
        try:
            for _ in range(MAX_EVENTS_PER_TURN):
                event = self._http.next_event() if self._can_process else h11.PAUSED
                if event is h11.NEED_DATA or event is h11.PAUSED:
                    self._update_events()
                    return
                self._handle_event(event)
        except h11.RemoteProtocolError as error:
            self._reject(error.error_status_hint or 400, str(error))
            return
        if not self._is_closed:
            self._is_turn_due = True
            self._update_events()
            self._server.take_turn_later(self)

    def take_turn(self) -> None:
        """Process more of what was received, if the connection is still open."""
        if self._is_turn_due and not self._is_closed:
            self._process_events()

    def _handle_event(self, event: object) -> None:
        if isinstance(event, h11.Request):
            self._begin_request(event)
        elif isinstance(event, h11.Data) and self._request is not None:
            self._append_body(self._request, event.data)
        elif isinstance(event, h11.EndOfMessage) and self._request is not None:
            self._deliver_request(self._request)
        elif isinstance(event, h11.ConnectionClosed):
            self.close()

    def _begin_request(self, head: h11.Request) -> None:
        self._request = RequestBuffer(head)
        self._is_body_allowed = head.method != b"HEAD"
        self._arm_timer(self._server.limits.idle_timeout_s)
        fault = find_head_fault(head, self._server.limits)
        if fault is not None:
            self._reject(fault.status, fault.reason)
            return
        self._report_request_bytes(self._request.memory_bytes)
        if self._is_closing:
            # The handler has rejected the request.
            return
        if expects_continue(head):
            self._send_event(h11.InformationalResponse(status_code=100, headers=[]))
            self._flush()

    def _append_body(self, request: RequestBuffer, data: bytes) -> None:
        request.add(data)
        if request.body_bytes > self._server.limits.max_body_bytes:
            self._reject(413, "the body is over the limit")
            return
        self._report_request_bytes(request.memory_bytes)
        if self._is_closing:
            return
        self._arm_timer(self._server.limits.idle_timeout_s)

    def _deliver_request(self, request: RequestBuffer) -> None:
        """Hand the request over; its memory counts until its response ends."""
        self._timer.disarm()
        self._request = None
        self._is_response_due = True
        self._server.handler.on_request(self, request.take())

    def _reject(self, status: int, reason: str) -> None:
        self._server.handler.on_rejected(status, reason)
        self._is_closing = True
        self._release_request()
        if self._http.our_state in (h11.IDLE, h11.SEND_RESPONSE):
            headers, body = self._server.make_rejection(status, reason)
            length = str(len(body)).encode()
            headers += [(b"Content-Length", length), (b"Connection", b"close")]
            self._send_event(h11.Response(status_code=status, headers=headers))
            self._send_body(body)
            self._send_event(h11.EndOfMessage())
        self._flush()

    def _flush(self) -> None:
        if self._is_cut:
            return
        try:
            while self._send_buffer:
                with memoryview(self._send_buffer) as view:
                    sent = self._sock.send(view)
                del self._send_buffer[:sent]
        except BlockingIOError:
            pass
        except OSError as error:
            logger.debug("caller connection failed: %s", error)
            # Deferred: closing calls the handler, which may be on the call stack.
            self._task.send(self.close)
            return
        if self._is_closing and not self._send_buffer:
            self._report_queued_bytes()
            self._half_close()
            return
        self._update_events()
        self._report_queued_bytes()

    def _release_request(self) -> None:
        self._request = None
        self._report_request_bytes(0)

    def _report_request_bytes(self, size_bytes: int) -> None:
        if size_bytes != self._request_bytes:
            self._request_bytes = size_bytes
            self._server.handler.on_request_bytes(self, size_bytes)

    def _report_queued_bytes(self) -> None:
        # Counts allocated memory: up to half of it may still hold bytes already sent.
        size_bytes = self._send_buffer.__alloc__() if self._send_buffer else 0
        if size_bytes != self._reported_bytes:
            self._reported_bytes = size_bytes
            self._server.handler.on_queued_bytes(self, size_bytes)

    def _half_close(self) -> None:
        # Closing a socket with unread input sends a reset, and the caller can lose
        # the response. So only the sending side is closed at first.
        try:
            self._sock.shutdown(socket.SHUT_WR)
        except OSError as error:
            logger.debug("shutdown failed: %s", error)
        self._is_turn_due = False
        self._pipelined_bytes = 0
        self._update_events()
        self._timer.disarm()
        self._delivery.start(self._server.limits.idle_timeout_s)

    def _update_events(self) -> None:
        """Watch the socket for what this connection waits for.

        It reads no more while a turn is due, so that it can't receive faster than the
        requests are parsed, nor many requests ahead of the response that is due.
        """
        if self._is_closed:
            return
        is_ahead = self._pipelined_bytes >= MAX_PIPELINED_BYTES
        events = 0 if self._is_turn_due or is_ahead else READ
        if self._send_buffer:
            events |= WRITE
        if events == self._events:
            return
        if not events:
            self._task.unregister(self._sock)
        elif not self._events:
            self._task.register(self._sock, events, self._on_ready)
        else:
            self._task.modify(self._sock, events, self._on_ready)
        self._events = events

    def _arm_header_timer(self) -> None:
        if not self._http.trailing_data[0]:
            self._arm_timer(self._server.limits.header_timeout_s)

    def _arm_timer(self, delay_s: float) -> None:
        self._timer.arm(delay_s, self._on_timeout)

    def _on_timeout(self) -> None:
        if self._is_response_due or self._is_closed:
            return
        if self._can_process and count_unread_bytes(self._sock):
            # The caller has sent in time what was not read yet.
            self._arm_timer(self._server.limits.header_timeout_s)
            return
        is_unread = bool(self._send_buffer)
        if not is_unread and (self._request or self._http.trailing_data[0]):
            self._reject(408, "the request was not finished in time")
            return
        if not is_unread and count_undelivered_bytes(self._sock):
            self._is_closing = True
            self._half_close()
            return
        self.close()
