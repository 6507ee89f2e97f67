"""Client of an engine's staging area: writes, reads back and verifies pieces."""

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

# The engine is on the same machine: no response means that it does not run.
REQUEST_TIMEOUT_S = 1.0
MAX_PARALLEL_READS = 4


class StagingClient:
    """Sends requests to the staging area of one engine; results come by callback.

    ``on_overwrite`` is called with the number of a piece before it is overwritten.
    """

    def __init__(
        self,
        pool: ConnectionPool,
        engine_address: Address,
        on_overwrite: Callable[[int], None],
    ):
        self._pool = pool
        self._engine_address = engine_address
        self._on_overwrite = on_overwrite

    def put(
        self, model: str, number: int, data: bytes, on_done: Callable[[bool], None]
    ) -> None:
        """Write one piece.

        ``on_done`` is called with whether the engine accepted it.
        """
        self._on_overwrite(number)
        request = wire.stage_request(self._engine_address, model, number, data)

        def on_result(result: FetchResult) -> None:
            is_accepted = isinstance(result, Response) and result.head.is_success
            if not is_accepted:
                logger.warning("piece not staged", extra={"number": number})
            on_done(is_accepted)

        self._fetch(request, on_result)

    def get(
        self, model: str, number: int, on_done: Callable[[bytes | None], None]
    ) -> None:
        """Read one piece back.

        ``on_done`` is called with its bytes, or None if the engine did not return it.
        """
        request = wire.staged_piece_request(self._engine_address, model, number)

        def on_result(result: FetchResult) -> None:
            is_found = isinstance(result, Response) and result.head.is_success
            on_done(result.body if is_found else None)  # type: ignore[union-attr]

        self._fetch(request, on_result)

    def list_staged(
        self, model: str, on_done: Callable[[frozenset[int] | None], None]
    ) -> None:
        """List the staged pieces.

        ``on_done`` is called with their numbers, or None if the engine returned no
        valid list.
        """

        def on_result(result: FetchResult) -> None:
            if not isinstance(result, Response) or not result.head.is_success:
                on_done(None)
                return
            try:
                on_done(wire.decode_staged_list(result.body))
            except AdapterError as error:
                logger.warning("staged list ignored", extra={"reason": str(error)})
                on_done(None)

        self._fetch(wire.staged_list_request(self._engine_address, model), on_result)

    def verify(
        self,
        pieces: PieceSet,
        numbers: list[int],
        on_piece: Callable[[int, bool], None],
        on_done: Callable[[], None],
    ) -> None:
        """Read pieces back, `MAX_PARALLEL_READS` at a time, and compare their digests.

        ``on_piece`` is called with the number of each piece and whether it is valid,
        ``on_done`` once after all of them.
        """
        waiting = list(reversed(numbers))
        in_flight = 0

        def start_reads() -> None:
            nonlocal in_flight
            if not waiting and not in_flight:
                on_done()
                return
            while waiting and in_flight < MAX_PARALLEL_READS:
                in_flight += 1
                read(waiting.pop())

        def read(number: int) -> None:
            def on_read(data: bytes | None) -> None:
                nonlocal in_flight
                in_flight -= 1
                is_valid = data is not None and pieces.matches(number, data)
                on_piece(number, is_valid)
                start_reads()

            self.get(pieces.manifest.model, number, on_read)

        start_reads()

    def _fetch(
        self, request: Request, on_result: Callable[[FetchResult], None]
    ) -> None:
        Fetch.start(
            self._pool,
            self._engine_address,
            request,
            on_result,
            timeout_s=REQUEST_TIMEOUT_S,
        )
