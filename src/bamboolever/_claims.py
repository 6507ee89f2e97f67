"""Decides which entry may run a non-idempotent call, and records how it ended.

A claim reserves an idempotency key for one entry. `ClaimShard.apply` takes operations
that claim, settle or release a key, and returns the changed shard and a result for
each operation.

All claims of one shard are one object in the platform and change only by conditional
writes, so exactly one of all entries gets a key. A claim is never taken over: its
holder runs the call at most once, and a later claimant gets the recorded response or
is refused. Nothing depends on two clocks agreeing; wall-clock times are used only to
remove records after `RETENTION_S`.

Nothing here does I/O or reads a clock.
"""

import base64
import json
from dataclasses import dataclass, replace
from enum import Enum
from typing import Any, final

from bamboolever._subset import score_member

CLAIM_KIND = "claims"
SHARD_COUNT = 64
RETENTION_S = 24 * 3600.0
#: Encoded size above which a shard accepts no new keys.
MAX_SHARD_BYTES = 900_000
MAX_RECORDED_BODY_BYTES = 2048
MAX_KEY_BYTES = 200


class ClaimState(Enum):
    """The state of a claimed call.

    CLAIMED: its holder may run it. DONE: it ran, and its response is recorded. UNKNOWN:
    it may have run.
    """

    CLAIMED = "claimed"
    DONE = "done"
    UNKNOWN = "unknown"


class ClaimVerdict(Enum):
    """The result of a claim.

    GRANTED: the entry may run the call. RECORDED: it ran, and its response is stored.
    IN_PROGRESS: another claim holds the key. UNKNOWN: it may have run. KEY_REUSED: the
    key belongs to another request. SHARD_FULL, STORE_UNAVAILABLE: the key cannot be
    claimed now.
    """

    GRANTED = "granted"
    RECORDED = "recorded"
    IN_PROGRESS = "in-progress"
    UNKNOWN = "unknown"
    KEY_REUSED = "key-reused"
    SHARD_FULL = "shard-full"
    STORE_UNAVAILABLE = "store-unavailable"


@dataclass(frozen=True)
class ClaimRecord:
    """The record of one claimed key.

    ``holder`` is the instance id of the entry. ``nonce`` identifies the claim among
    those of its holder. ``claimed_at`` is in wall-clock seconds. ``status``,
    ``content_type`` and ``body`` are those of the response, once the claim is settled.
    A body of more than `MAX_RECORDED_BODY_BYTES` is not kept.
    """

    body_digest: str
    holder: str
    nonce: str
    claimed_at: float
    state: ClaimState = ClaimState.CLAIMED
    status: int = 0
    content_type: str = ""
    body: bytes = b""
    is_body_kept: bool = False


@dataclass(frozen=True)
class ClaimOperation:
    """One change to a shard.

    Releases the key if ``is_release``; else claims it if the record's state is CLAIMED,
    and settles it otherwise.
    """

    key: str
    record: ClaimRecord
    is_release: bool = False


@dataclass(frozen=True)
class ClaimResult:
    """The verdict on one operation, with the record stored under its key."""

    verdict: ClaimVerdict
    record: ClaimRecord | None = None


class ClaimError(ValueError):
    """A stored shard cannot be decoded."""


@final
class ClaimShard:
    """The claims of one shard, by key."""

    def __init__(self, records: dict[str, ClaimRecord] | None = None):
        self._records = dict(records or {})

    @classmethod
    def decode(cls, value: bytes | None) -> "ClaimShard":
        """Decode a stored shard; None is an empty one.

        Raises `ClaimError` if it cannot be decoded. It must not count as empty, or a
        key could be granted again.
        """
        if value is None:
            return cls()
        try:
            rows: dict[str, Any] = json.loads(value)
            return cls({key: _decode_record(row) for key, row in rows.items()})
        except (ValueError, KeyError, TypeError, AttributeError) as error:
            raise ClaimError(f"invalid claims: {error}") from error

    def encode(self) -> bytes:
        """Return the shard as it is stored."""
        rows = {key: _encode_record(record) for key, record in self._records.items()}
        return json.dumps(rows, separators=(",", ":")).encode()

    def get(self, key: str) -> ClaimRecord | None:
        """Return the record of a key, or None."""
        return self._records.get(key)

    def apply(
        self, operations: list[ClaimOperation], now: float
    ) -> tuple["ClaimShard", list[ClaimResult]]:
        """Return the shard after ``operations``, and one result for each.

        ``now`` is in wall-clock seconds. Records older than `RETENTION_S` are removed.
        """
        changed = ClaimShard(
            {
                key: record
                for key, record in self._records.items()
                if now - record.claimed_at < RETENTION_S
            }
        )
        is_full = len(changed.encode()) > MAX_SHARD_BYTES
        results = [changed._apply_one(operation, is_full) for operation in operations]
        return changed, results

    def _apply_one(self, operation: ClaimOperation, is_full: bool) -> ClaimResult:
        stored = self._records.get(operation.key)
        proposed = operation.record
        is_same_claim = stored is not None and stored.nonce == proposed.nonce
        if operation.is_release:
            if is_same_claim:
                del self._records[operation.key]
            return ClaimResult(ClaimVerdict.GRANTED)
        if proposed.state is not ClaimState.CLAIMED:
            if is_same_claim:
                self._records[operation.key] = proposed
            return ClaimResult(ClaimVerdict.GRANTED)
        if stored is None:
            if is_full:
                return ClaimResult(ClaimVerdict.SHARD_FULL)
            self._records[operation.key] = proposed
            return ClaimResult(ClaimVerdict.GRANTED, proposed)
        if is_same_claim:
            return ClaimResult(ClaimVerdict.GRANTED, stored)
        return _resolve_repeat(stored, proposed)


def _resolve_repeat(stored: ClaimRecord, proposed: ClaimRecord) -> ClaimResult:
    if stored.body_digest != proposed.body_digest:
        return ClaimResult(ClaimVerdict.KEY_REUSED, stored)
    if stored.state is ClaimState.DONE:
        return ClaimResult(ClaimVerdict.RECORDED, stored)
    if stored.state is ClaimState.UNKNOWN:
        return ClaimResult(ClaimVerdict.UNKNOWN, stored)
    return ClaimResult(ClaimVerdict.IN_PROGRESS, stored)


def find_claim_shard(key: str) -> str:
    """Return the name of the shard that an idempotency key belongs to."""
    return f"shard-{score_member('claims', key) % SHARD_COUNT}"


def settle_record(
    claimed: ClaimRecord, state: ClaimState, status: int, content_type: str, body: bytes
) -> ClaimRecord:
    """Return ``claimed`` with the final state of its call and its response."""
    is_kept = len(body) <= MAX_RECORDED_BODY_BYTES
    return replace(
        claimed,
        state=state,
        status=status,
        content_type=content_type,
        body=body if is_kept else b"",
        is_body_kept=is_kept,
    )


def _encode_record(record: ClaimRecord) -> list[Any]:
    return [
        record.body_digest,
        record.holder,
        record.nonce,
        record.claimed_at,
        record.state.value,
        record.status,
        record.content_type,
        base64.b64encode(record.body).decode(),
        record.is_body_kept,
    ]


def _decode_record(row: list[Any]) -> ClaimRecord:
    (
        digest,
        holder,
        nonce,
        claimed_at,
        state,
        status,
        content_type,
        body,
        is_body_kept,
    ) = row
    return ClaimRecord(
        str(digest),
        str(holder),
        str(nonce),
        float(claimed_at),
        ClaimState(state),
        int(status),
        str(content_type),
        base64.b64decode(body),
        bool(is_body_kept),
    )
