"""Writes claims in groups: one conditional write per shard at a time.

Lives on the entry's task. Operations that arrive while a shard's write is
under way go together into its next one, so writes per second are bounded by
shards and round trips, not by calls.
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
MAX_SETTLE_ATTEMPTS = 7200
MAX_WAITING_PER_SHARD = 1000

Reply = Callable[[ClaimResult], None]


@dataclass
class _Waiting:
    operation: ClaimOperation
    reply: Reply | None
    attempts: int = 0


@final
class ClaimWriter:
    """Groups claim operations by shard and writes them."""

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
        self._waiting: dict[str, deque[_Waiting]] = {}
        self._busy: set[str] = set()

    @property
    def pending(self) -> int:
        """Operations that are not written yet."""
        return sum(len(queue) for queue in self._waiting.values()) + len(self._busy)

    def claim(self, operation: ClaimOperation, reply: Reply) -> None:
        """Claim a key; ``reply`` runs on the task once the verdict is known."""
        shard = find_claim_shard(operation.key)
        if len(self._waiting.get(shard, ())) >= MAX_WAITING_PER_SHARD:
            reply(ClaimResult(ClaimVerdict.STORE_UNAVAILABLE))
            return
        self._add(shard, _Waiting(operation, reply))

    def settle(self, operation: ClaimOperation) -> None:
        """Record an end or give a key back; retried until it is written."""
        self._add(find_claim_shard(operation.key), _Waiting(operation, None))

    def _add(self, shard: str, waiting: _Waiting) -> None:
        self._waiting.setdefault(shard, deque()).append(waiting)
        self._write(shard)

    def _write(self, shard: str) -> None:
        if shard in self._busy or not self._waiting.get(shard):
            return
        batch = list(self._waiting.pop(shard))
        self._busy.add(shard)
        operations = [waiting.operation for waiting in batch]
        self._telemetry.count("claim_writes")
        self._task.submit(
            self._executor,
            lambda: _write_batch(self._platform, shard, operations),
            lambda future: self._on_written(shard, batch, future),
        )

    def _on_written(
        self, shard: str, batch: list[_Waiting], future: "Future[list[ClaimResult]]"
    ) -> None:
        self._busy.discard(shard)
        try:
            results = future.result()
        except (PlatformError, ClaimError) as error:
            logger.warning("claims of %s not written: %s", shard, error)
            reason = type(error).__name__
            self._telemetry.count("claim_write_failures", reason=reason)
            self._fail(shard, batch)
            return
        for waiting, result in zip(batch, results, strict=True):
            if waiting.reply is not None:
                waiting.reply(result)
        self._write(shard)

    def _fail(self, shard: str, batch: list[_Waiting]) -> None:
        for waiting in batch:
            if waiting.reply is not None:
                waiting.reply(ClaimResult(ClaimVerdict.STORE_UNAVAILABLE))
                # The write may have taken effect all the same: give it back.
                waiting = _release_of(waiting)
            waiting.attempts += 1
            if waiting.attempts < MAX_SETTLE_ATTEMPTS:
                self._retry_later(shard, waiting)
        self._write(shard)

    def _retry_later(self, shard: str, waiting: _Waiting) -> None:
        self._task.call_later(SETTLE_RETRY_S, lambda: self._add(shard, waiting))


def _release_of(waiting: _Waiting) -> _Waiting:
    operation = waiting.operation
    return _Waiting(
        ClaimOperation(operation.key, operation.record, is_release=True), None
    )


def _write_batch(
    platform: Platform, shard: str, operations: list[ClaimOperation]
) -> list[ClaimResult]:
    """Apply a batch to a shard; blocks on the platform."""
    results: list[ClaimResult] = []

    def change(value: bytes | None) -> bytes | None:
        nonlocal results
        current = ClaimShard.decode(value)
        changed, results = current.apply(operations, time.time())
        encoded = changed.encode()
        return None if encoded == value else encoded

    update_object(platform, CLAIM_KIND, shard, change)
    return results
