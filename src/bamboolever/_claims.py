"""Run-once claims: who may run a non-idempotent call, and how it ended.

Pure. The claims of one shard are one object in the platform, changed by
conditional writes only, so that of all entries exactly one gets a key. A claim
is never taken over: its holder dispatches at most once, and anyone else is
told "in progress" or "unknown". Nothing here depends on two clocks agreeing;
wall-clock times are used only to forget records after the retention.
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
MAX_SHARD_BYTES = 900_000
MAX_RECORDED_BODY_BYTES = 2048
MAX_KEY_BYTES = 200


class ClaimState(Enum):
    """How far a claimed call has come."""

    CLAIMED = "claimed"
    DONE = "done"
    UNKNOWN = "unknown"


class ClaimVerdict(Enum):
    """What a claimant is told."""

    GRANTED = "granted"
    RECORDED = "recorded"
    IN_PROGRESS = "in-progress"
    UNKNOWN = "unknown"
    KEY_REUSED = "key-reused"
    SHARD_FULL = "shard-full"
    STORE_UNAVAILABLE = "store-unavailable"


@dataclass(frozen=True)
class ClaimRecord:
    """One claimed key; ``body`` is kept up to `MAX_RECORDED_BODY_BYTES`."""

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
    """One change to a shard: claim, settle or give back a key."""

    key: str
    record: ClaimRecord
    is_release: bool = False


@dataclass(frozen=True)
class ClaimResult:
    """The verdict on one operation, with the record it met."""

    verdict: ClaimVerdict
    record: ClaimRecord | None = None


class ClaimError(ValueError):
    """A stored shard cannot be read."""


@final
class ClaimShard:
    """The records of one shard."""

    def __init__(self, records: dict[str, ClaimRecord] | None = None):
        self._records = dict(records or {})

    @classmethod
    def decode(cls, value: bytes | None) -> "ClaimShard":
        """Return the stored shard.

        Raises `ClaimError`: an unreadable shard must not count as empty.
        """
        if value is None:
            return cls()
        try:
            rows: dict[str, Any] = json.loads(value)
            return cls({key: _decode_record(row) for key, row in rows.items()})
        except (ValueError, KeyError, TypeError, AttributeError) as error:
            raise ClaimError(f"unreadable claims: {error}") from error

    def encode(self) -> bytes:
        """Return the stored form."""
        rows = {key: _encode_record(record) for key, record in self._records.items()}
        return json.dumps(rows, separators=(",", ":")).encode()

    def get(self, key: str) -> ClaimRecord | None:
        """Return one record."""
        return self._records.get(key)

    def apply(
        self, operations: list[ClaimOperation], now: float
    ) -> tuple["ClaimShard", list[ClaimResult]]:
        """Return the shard after ``operations`` and one result for each.

        ``now`` is wall-clock seconds, used only to forget old records.
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
        known = self._records.get(operation.key)
        wanted = operation.record
        is_own = known is not None and known.nonce == wanted.nonce
        if operation.is_release:
            if is_own:
                del self._records[operation.key]
            return ClaimResult(ClaimVerdict.GRANTED)
        if wanted.state is not ClaimState.CLAIMED:
            if is_own:
                self._records[operation.key] = wanted
            return ClaimResult(ClaimVerdict.GRANTED)
        if known is None:
            if is_full:
                return ClaimResult(ClaimVerdict.SHARD_FULL)
            self._records[operation.key] = wanted
            return ClaimResult(ClaimVerdict.GRANTED, wanted)
        if is_own:
            return ClaimResult(ClaimVerdict.GRANTED, known)
        return _judge_repeat(known, wanted)


def _judge_repeat(known: ClaimRecord, wanted: ClaimRecord) -> ClaimResult:
    if known.body_digest != wanted.body_digest:
        return ClaimResult(ClaimVerdict.KEY_REUSED, known)
    if known.state is ClaimState.DONE:
        return ClaimResult(ClaimVerdict.RECORDED, known)
    if known.state is ClaimState.UNKNOWN:
        return ClaimResult(ClaimVerdict.UNKNOWN, known)
    return ClaimResult(ClaimVerdict.IN_PROGRESS, known)


def find_claim_shard(key: str) -> str:
    """Return the name of the shard that holds ``key``."""
    return f"shard-{score_member('claims', key) % SHARD_COUNT}"


def settle_record(
    claimed: ClaimRecord, state: ClaimState, status: int, content_type: str, body: bytes
) -> ClaimRecord:
    """Return the record of a call that ended."""
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
    digest, holder, nonce, claimed_at, state, status, kind, body, is_kept = row
    return ClaimRecord(
        str(digest),
        str(holder),
        str(nonce),
        float(claimed_at),
        ClaimState(state),
        int(status),
        str(kind),
        base64.b64decode(body),
        bool(is_kept),
    )
