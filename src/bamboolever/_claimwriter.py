"""Writes claims in batches, with one conditional write per shard at a time.

Operations that arrive while a write of their shard is in flight go together into its
next write. So the writes per second are bounded by the number of shards and the round
trip, and don't grow with the number of calls.
"""

import logging
import time
from collections import deque
from collections.abc import Callable
from concurrent.futures import Executor, Future
from dataclasses import dataclass
from typing import final

from bamboolever._claims import (
    CLAIM_KIND,
    ClaimError,
    ClaimOperation,
    ClaimResult,
    ClaimShard,
    ClaimVerdict,
    find_claim_shard,
)
from bamboolever._platform import Platform, PlatformError, update_object
from bamboolever._task import IoTask
from bamboolever._telemetry import Telemetry

logger = logging.getLogger(__name__)

SETTLE_RETRY_S = 0.5
#: Attempts before a settle or release is dropped: an hour at `SETTLE_RETRY_S` apart.
MAX_SETTLE_ATTEMPTS = 7200
MAX_WAITING_PER_SHARD = 1000

OnResult = Callable[[ClaimResult], None]


@dataclass
class _PendingOperation:
    operation: ClaimOperation
    on_result: OnResult | None
    attempts: int = 0


@final
class ClaimWriter:
    """Groups claim operations by shard and writes each group.

    All methods run on the entry's task; the writes block on ``executor``.
    """

    def __init__(
        self,
        task: IoTask,
        executor: Executor,
        platform: Platform,
        telemetry: Telemetry,
    ):
        self._task = task
        self._executor = executor
        self._platform = platform
        self._telemetry = telemetry
        self._queues: dict[str, deque[_PendingOperation]] = {}
        self._shards_in_flight: set[str] = set()

    @property
    def pending(self) -> int:
        """Number of waiting operations, plus one for each write in flight."""
        return sum(len(queue) for queue in self._queues.values()) + len(
            self._shards_in_flight
        )

    def claim(self, operation: ClaimOperation, on_result: OnResult) -> None:
        """Claim a key.

        ``on_result`` is called on the task once the result is known. It gets
        STORE_UNAVAILABLE at once if too many operations of the shard wait.
        """
        shard = find_claim_shard(operation.key)
        if len(self._queues.get(shard, ())) >= MAX_WAITING_PER_SHARD:
            on_result(ClaimResult(ClaimVerdict.STORE_UNAVAILABLE))
            return
        self._enqueue(shard, _PendingOperation(operation, on_result))

    def settle(self, operation: ClaimOperation) -> None:
        """Settle or release a key, and retry until it is written.

        After `MAX_SETTLE_ATTEMPTS` failures the operation is dropped.
        """
        self._enqueue(
            find_claim_shard(operation.key), _PendingOperation(operation, None)
        )

    def _enqueue(self, shard: str, pending: _PendingOperation) -> None:
        self._queues.setdefault(shard, deque()).append(pending)
        self._write_next(shard)

    def _write_next(self, shard: str) -> None:
        if shard in self._shards_in_flight or not self._queues.get(shard):
            return
        batch = list(self._queues.pop(shard))
        self._shards_in_flight.add(shard)
        operations = [pending.operation for pending in batch]
        self._telemetry.count("claim_writes")
        self._task.submit(
            self._executor,
            lambda: _write_batch(self._platform, shard, operations),
            lambda future: self._on_written(shard, batch, future),
        )

    def _on_written(
        self,
        shard: str,
        batch: list[_PendingOperation],
        future: "Future[list[ClaimResult]]",
    ) -> None:
        self._shards_in_flight.discard(shard)
        try:
            results = future.result()
        except (PlatformError, ClaimError) as error:
            logger.warning("claims of %s not written: %s", shard, error)
            reason = type(error).__name__
            self._telemetry.count("claim_write_failures", reason=reason)
            self._handle_failure(shard, batch)
            return
        for pending, result in zip(batch, results, strict=True):
            if pending.on_result is not None:
                pending.on_result(result)
        self._write_next(shard)

    def _handle_failure(self, shard: str, batch: list[_PendingOperation]) -> None:
        for pending in batch:
            if pending.on_result is not None:
                pending.on_result(ClaimResult(ClaimVerdict.STORE_UNAVAILABLE))
                # The failed write may have taken effect, so release the key.
                pending = _make_release(pending)
            pending.attempts += 1
            if pending.attempts < MAX_SETTLE_ATTEMPTS:
                self._retry_later(shard, pending)
        self._write_next(shard)

    def _retry_later(self, shard: str, pending: _PendingOperation) -> None:
        self._task.call_later(SETTLE_RETRY_S, lambda: self._enqueue(shard, pending))


def _make_release(pending: _PendingOperation) -> _PendingOperation:
    operation = pending.operation
    return _PendingOperation(
        ClaimOperation(operation.key, operation.record, is_release=True), None
    )


def _write_batch(
    platform: Platform, shard: str, operations: list[ClaimOperation]
) -> list[ClaimResult]:
    """Apply operations to a shard and return their results; blocks on the platform.

    Raises `PlatformError` or `ClaimError`. The operations may have been applied then.
    """
    results: list[ClaimResult] = []

    def change(value: bytes | None) -> bytes | None:
        nonlocal results
        stored = ClaimShard.decode(value)
        changed, results = stored.apply(operations, time.time())
        encoded = changed.encode()
        return None if encoded == value else encoded

    update_object(platform, CLAIM_KIND, shard, change)
    return results
