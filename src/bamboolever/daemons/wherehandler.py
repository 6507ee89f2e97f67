"""Answers over HTTP where a request would go now.

`POST /where` takes a question as JSON and returns the answer as JSON. Any other path is
served by the next handler. Questions are never logged, as they may hold a key.
"""

import json
from collections.abc import Callable
from typing import final

from bamboolever.net.handlers import RequestHandler
from bamboolever.net.messages import Header, Request
from bamboolever.net.serverconnection import ServerConnection
from bamboolever.platform import where as wire
from bamboolever.platform.where import QuestionError, WhereAnswer, WhereQuestion

# Limited since each answer copies the state of a service's upstreams on the thread that
# serves callers.
MAX_ANSWERS_PER_S = 4

_JSON: Header = (b"Content-Type", b"application/json")
_ALLOW: Header = (b"Allow", b"POST")
_RETRY_AFTER: Header = (b"Retry-After", b"1")


@final
class WhereHandler(RequestHandler):
    """Serves operators' questions on an entry's metrics port.

    ``answer`` may raise `QuestionError`. ``now`` returns seconds of the entry's clock.
    ``others`` serves the other paths. Methods are called on the entry's thread.
    """

    def __init__(
        self,
        answer: Callable[[WhereQuestion], WhereAnswer],
        now: Callable[[], float],
        others: RequestHandler,
    ):
        self._answer = answer
        self._now = now
        self._others = others
        self._left = float(MAX_ANSWERS_PER_S)
        self._refilled_at = now()

    def on_request(self, connection: ServerConnection, request: Request) -> None:
        """Called for each request: responds at once."""
        if request.target != wire.WHERE_PATH:
            self._others.on_request(connection, request)
        elif request.method != b"POST":
            connection.respond(405, [_ALLOW])
        elif len(request.body) > wire.MAX_QUESTION_BYTES:
            self._refuse(connection, 413, "the question is longer than 16 KB")
        elif not self._may_answer():
            message = f"over {MAX_ANSWERS_PER_S} questions a second; ask again in 1 s"
            self._refuse(connection, 429, message, _RETRY_AFTER)
        else:
            self._respond(connection, request.body)

    def on_caller_gone(self, connection: ServerConnection) -> None:
        """Called when a caller disconnects: ignored, since no response is pending."""

    def on_rejected(self, status: int, reason: str) -> None:
        """Called for a malformed request: ignored, the response states the reason."""

    def _respond(self, connection: ServerConnection, body: bytes) -> None:
        try:
            answer = self._answer(wire.decode_question(body))
        except QuestionError as error:
            self._refuse(connection, 400, str(error))
            return
        connection.respond(200, [_JSON], answer.model_dump_json().encode())

    def _may_answer(self) -> bool:
        now = self._now()
        gained = max(0.0, now - self._refilled_at) * MAX_ANSWERS_PER_S
        self._left = min(float(MAX_ANSWERS_PER_S), self._left + gained)
        self._refilled_at = now
        if self._left < 1.0:
            return False
        self._left -= 1.0
        return True

    def _refuse(
        self, connection: ServerConnection, status: int, message: str, *headers: Header
    ) -> None:
        body = json.dumps({"error": message}).encode()
        connection.respond(status, [_JSON, *headers], body)
