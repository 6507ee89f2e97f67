"""Admission: a contract's rate and queue limits, and the budgets of retries.

Pure. An entry grants only its share of each limit, so that all entries together
keep the contract.
"""

from typing import final

from bamboolever._calls import CallRequest, Refusal, RefusalReason, RunOutcome
from bamboolever._documents import Contract
from bamboolever._fairqueue import FairQueue
from bamboolever._ratelimit import TokenBucket
from bamboolever._retry import RetryBudget

MAX_QUEUED_PER_SERVICE = 2000
SERVICE_RETRY_SHARE = 0.1
RETRY_AFTER_S = 1.0


@final
class Admission:
    """Limits and budgets of every workspace and service at one entry."""

    def __init__(self) -> None:
        self.share = 1.0
        self._rates: dict[str, TokenBucket] = {}
        self._workspace_budgets: dict[str, RetryBudget] = {}
        self._service_budgets: dict[str, RetryBudget] = {}

    def check_limits(
        self,
        request: CallRequest,
        contract: Contract,
        queue: FairQueue[int],
        now: float,
    ) -> Refusal | None:
        """Take one call's part of the limits, or return why not."""
        bucket = self._rates.get(request.workspace)
        rate = contract.requests_per_second * self.share
        burst = max(1.0, contract.burst * self.share)
        if bucket is None:
            bucket = self._rates[request.workspace] = TokenBucket(rate, burst)
        bucket.set_limits(rate, burst)
        if queue.lane_size(request.workspace) >= max(1, contract.queue):
            message = "the workspace's queue is full"
            return make_refusal(
                request, RefusalReason.QUEUE_FULL, message, RETRY_AFTER_S
            )
        if len(queue) >= MAX_QUEUED_PER_SERVICE:
            message = "the service's queue is full"
            return make_refusal(request, RefusalReason.SHED, message, RETRY_AFTER_S)
        if not bucket.try_take(now):
            message = "the workspace's rate limit is reached"
            wait_s = bucket.wait_s(now)
            return make_refusal(request, RefusalReason.RATE, message, wait_s)
        return None

    def count_first_attempt(self, request: CallRequest, contract: Contract) -> None:
        """Let the retry budgets earn their share."""
        workspace = request.workspace
        share = contract.retry_share
        budget = self._workspace_budgets.get(workspace)
        if budget is None:
            budget = self._workspace_budgets[workspace] = RetryBudget(share)
        budget.set_share(share)
        budget.on_first_attempt()
        service_budget = self._service_budgets.get(request.service)
        if service_budget is None:
            service_budget = RetryBudget(SERVICE_RETRY_SHARE)
            self._service_budgets[request.service] = service_budget
        service_budget.on_first_attempt()

    def try_take_retry(self, request: CallRequest) -> bool:
        """Spend one retry of the workspace and of the service."""
        budget = self._workspace_budgets[request.workspace]
        return budget.try_take() and self._service_budgets[request.service].try_take()


def make_refusal(
    request: CallRequest,
    reason: RefusalReason,
    message: str,
    retry_after_s: float | None = None,
) -> Refusal:
    """Return a refusal of a call that did not run."""
    return Refusal(request.call_id, reason, RunOutcome.NOT_RUN, message, retry_after_s)
