"""Decides whether an entry admits a call, and whether it may retry one.

A new call is refused if its workspace's queue or its service's queue is full, or if
the workspace's rate is used up. The refusal carries a time to wait before a retry.
Refusing at once keeps a burst from filling the entry's queues.

Entries don't coordinate per call. Each grants its share of the contract's rate and
burst, so that all of them together stay within the contract.

A retry is taken from a budget of the workspace and from one of the service. Both
grow with first attempts, so that retries stay a small share of the load while a
service fails.

Nothing here does I/O or reads a clock.
"""

from typing import final

from bamboolever._calls import CallRequest, Refusal, RefusalReason, RunOutcome
from bamboolever._documents import Contract
from bamboolever._fairqueue import FairQueue
from bamboolever._ratelimit import TokenBucket
from bamboolever._retry import RetryBudget

MAX_QUEUED_PER_SERVICE = 2000
#: Retries per first attempt that the budget of each service allows.
SERVICE_RETRY_SHARE = 0.1
RETRY_AFTER_S = 1.0


@final
class Admission:
    """The rate limits and retry budgets of the workspaces and services of one entry."""

    def __init__(self) -> None:
        #: Share of each contract's limits that this entry grants, from 0 to 1.
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
        """Return the refusal of a call, or take a rate token and return None.

        ``queue`` is the queue of the call's service. ``now`` is in seconds.
        """
        bucket = self._rates.get(request.workspace)
        rate = contract.requests_per_second * self.share
        burst = max(1.0, contract.burst * self.share)
        if bucket is None:
            bucket = self._rates[request.workspace] = TokenBucket(rate, burst)
        bucket.set_limits(rate, burst)
        if queue.flow_size(request.workspace) >= max(1, contract.queue):
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
        """Credit a first attempt to the retry budgets of its workspace and service."""
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
        """Take one retry from both budgets; return whether both allowed it."""
        budget = self._workspace_budgets[request.workspace]
        return budget.try_take() and self._service_budgets[request.service].try_take()


def make_refusal(
    request: CallRequest,
    reason: RefusalReason,
    message: str,
    retry_after_s: float | None = None,
) -> Refusal:
    """Return the refusal of a call that did not run.

    ``retry_after_s`` is the time after which the caller may retry; it is None if a
    retry does not help.
    """
    return Refusal(request.call_id, reason, RunOutcome.NOT_RUN, message, retry_after_s)
