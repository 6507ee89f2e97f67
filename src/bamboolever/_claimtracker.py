"""Claims the keys of an entry's non-idempotent calls and settles them."""

import time
import uuid
from collections.abc import Callable
from typing import final

from bamboolever._calls import CallRequest, RunOutcome, SettleClaim
from bamboolever._claims import (
    ClaimOperation,
    ClaimRecord,
    ClaimResult,
    ClaimState,
    ClaimVerdict,
    settle_record,
)
from bamboolever._claimwriter import ClaimWriter
from bamboolever._membership import Membership


@final
class ClaimTracker:
    """Keeps the claims of the open calls until each is settled.

    All methods run on the entry's task. ``holder`` is the entry's instance id.
    """

    def __init__(self, holder: str, writer: ClaimWriter, membership: Membership):
        self._holder = holder
        self._writer = writer
        self._membership = membership
        self._records: dict[int, ClaimRecord] = {}

    def claim(
        self, request: CallRequest, on_result: Callable[[ClaimResult], None]
    ) -> None:
        """Claim the idempotency key of a call.

        ``on_result`` is called on the entry's task once the result is known.
        """
        record = ClaimRecord(
            body_digest=request.body_digest,
            holder=self._holder,
            nonce=uuid.uuid4().hex,
            claimed_at=time.time(),
        )
        operation = ClaimOperation(request.idempotency_key, record)
        self._records[request.call_id] = record
        self._writer.claim(
            operation,
            lambda result: on_result(self._check_holder(request.call_id, result)),
        )

    def settle(self, settle: SettleClaim) -> None:
        """Record how a claimed call ended, or release its key if it did not run.

        Does nothing for a call whose claim was not granted or is settled already.
        """
        request = settle.request
        record = self._records.pop(request.call_id, None)
        if record is None:
            return
        if settle.outcome is RunOutcome.NOT_RUN:
            self._writer.settle(
                ClaimOperation(request.idempotency_key, record, is_release=True)
            )
            return
        is_done = settle.outcome is RunOutcome.RAN
        state = ClaimState.DONE if is_done else ClaimState.UNKNOWN
        settled = settle_record(
            record, state, settle.status, settle.content_type, settle.body
        )
        self._writer.settle(ClaimOperation(request.idempotency_key, settled))

    def _check_holder(self, call_id: int, result: ClaimResult) -> ClaimResult:
        if result.verdict is ClaimVerdict.GRANTED:
            return result
        self._records.pop(call_id, None)
        record = result.record
        if result.verdict is not ClaimVerdict.IN_PROGRESS or record is None:
            return result
        entries = self._membership.members(role="entry")
        if any(member.record.instance_id == record.holder for member in entries):
            return result
        # The holder left the instance list, so it will not record how the call ended.
        return ClaimResult(ClaimVerdict.UNKNOWN, record)
