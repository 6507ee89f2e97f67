"""The staged pieces beside one engine: read back, verified, written."""

import logging
from collections.abc import Callable

from bamboolever.net.addresses import Address
from bamboolever.net.client import ConnectionPool
from bamboolever.net.fetch import Fetch, FetchResult, Response
from bamboolever.net.messages import Request
from bamboolever.platform import weights as wire
from bamboolever.platform.errors import AdapterError
from bamboolever.weights.pieces import PieceSet

logger = logging.getLogger(__name__)

LOCAL_TIMEOUT_S = 1.0
PARALLEL_READS = 4


class StagingClient:
    """Calls to the staging area of one engine; answers come by callback.

    ``on_overwrite`` is told the number of each piece before it is written over.
    """

    def __init__(
        self,
        pool: ConnectionPool,
        engine: Address,
        on_overwrite: Callable[[int], None],
    ):
        self._pool = pool
        self._engine = engine
        self._on_overwrite = on_overwrite

    def put(
        self, model: str, number: int, data: bytes, on_done: Callable[[bool], None]
    ) -> None:
        """Stage one piece and tell whether the engine took it."""
        self._on_overwrite(number)
        request = wire.stage_request(self._engine, model, number, data)

        def on_result(result: FetchResult) -> None:
            is_taken = isinstance(result, Response) and result.head.is_success
            if not is_taken:
                logger.warning("piece not staged", extra={"number": number})
            on_done(is_taken)

        self._fetch(request, on_result)

    def get(
        self, model: str, number: int, on_done: Callable[[bytes | None], None]
    ) -> None:
        """Read one piece back; None if it is not there."""
        request = wire.staged_piece_request(self._engine, model, number)

        def on_result(result: FetchResult) -> None:
            is_found = isinstance(result, Response) and result.head.is_success
            on_done(result.body if is_found else None)  # type: ignore[union-attr]

        self._fetch(request, on_result)

    def list_held(
        self, model: str, on_done: Callable[[frozenset[int] | None], None]
    ) -> None:
        """List the staged pieces; None if the engine did not answer."""

        def on_result(result: FetchResult) -> None:
            if not isinstance(result, Response) or not result.head.is_success:
                on_done(None)
                return
            try:
                on_done(wire.decode_staged_list(result.body))
            except AdapterError as error:
                logger.warning("staged list ignored", extra={"reason": str(error)})
                on_done(None)

        self._fetch(wire.staged_list_request(self._engine, model), on_result)

    def verify(
        self,
        pieces: PieceSet,
        numbers: list[int],
        on_piece: Callable[[int, bool], None],
        on_done: Callable[[], None],
    ) -> None:
        """Read pieces back and compare their digests, a few at a time."""
        waiting = list(reversed(numbers))
        under_way = 0

        def pump() -> None:
            nonlocal under_way
            if not waiting and not under_way:
                on_done()
                return
            while waiting and under_way < PARALLEL_READS:
                under_way += 1
                read(waiting.pop())

        def read(number: int) -> None:
            def on_read(data: bytes | None) -> None:
                nonlocal under_way
                under_way -= 1
                is_good = data is not None and pieces.matches(number, data)
                on_piece(number, is_good)
                pump()

            self.get(pieces.manifest.model, number, on_read)

        pump()

    def _fetch(
        self, request: Request, on_result: Callable[[FetchResult], None]
    ) -> None:
        Fetch.start(
            self._pool, self._engine, request, on_result, timeout_s=LOCAL_TIMEOUT_S
        )
