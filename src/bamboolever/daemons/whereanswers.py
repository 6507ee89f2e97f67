"""Answers where a request would go now: admission, then the dispatcher's decision.

Takes a question, the configuration in force and the upstreams. Returns the refusal of
the admission, or what the dispatcher of the request's service would decide.

Load pattern: operators who ask during an overload. A question is no request: it is not
queued, uses up nothing and counts in no decision on requests. What only a whole
request shows is left out: whether it crashed upstreams, and whether it is a retry.
"""

from collections.abc import Callable, Mapping
from typing import Any, final

from bamboolever.calls.admission import (
    UNAVAILABLE_STATUS,
    AdmissionRequest,
    AdmissionState,
    Admitted,
    Refused,
    admit,
    find_priority,
)
from bamboolever.calls.dispatcher import Assignment, Rejection, RejectReason
from bamboolever.calls.explanation import Explanation
from bamboolever.calls.placement import PendingCall, Placement
from bamboolever.calls.regions import find_allowed_regions
from bamboolever.calls.retryafter import FINAL_REJECT_REASONS, find_retry_after_s
from bamboolever.config.model import Route, Workspace
from bamboolever.config.routes import path_of
from bamboolever.daemons.entryfleet import EntryFleet
from bamboolever.platform.where import (
    QuestionError,
    WhereAnswer,
    WhereQuestion,
    make_answer,
)

# The ids of calls start at 1, so that no call has this one.
QUESTION_ID = 0


@final
class WhereAnswers:
    """Answers questions about one entry; methods are called on its thread.

    ``find_state`` returns the state of the admission, ``stops_before`` whether the
    entry stops too soon for a request of a route, and ``now`` seconds of its clock.
    """

    def __init__(
        self,
        name: str,
        fleet: EntryFleet,
        find_state: Callable[[], AdmissionState],
        stops_before: Callable[[Route, float | None], bool],
        now: Callable[[], float],
    ):
        self._name = name
        self._fleet = fleet
        self._find_state = find_state
        self._stops_before = stops_before
        self._now = now

    def answer(self, question: WhereQuestion) -> WhereAnswer:
        """Return where the request would go.

        Raises `QuestionError` if no workspace has the name in the question.
        """
        state = self._find_state()
        configuration = state.configuration
        workspaces: Mapping[str, Workspace] = {}
        if configuration is not None:
            workspaces = configuration.workspaces_by_key
        request = AdmissionRequest(
            question.attempt.encode(),
            question.host,
            question.path,
            _find_key(question, workspaces) if configuration else None,
        )
        route = state.route_table.find(question.host, path_of(question.path))
        content: dict[str, Any] = {
            "entry": self._name,
            "configuration": configuration.version if configuration else 0,
            **_describe_admission(route, workspaces.get(request.api_key or "")),
        }
        admitted = admit(request, state)
        if isinstance(admitted, Admitted) and self._stops_before(admitted.route, None):
            admitted = Refused(UNAVAILABLE_STATUS, RejectReason.STOPPING.value)
        if isinstance(admitted, Refused):
            return make_answer({**content, **self._describe_refusal(admitted)})
        explanation = self._explain(question, admitted)
        return make_answer(
            {
                **content,
                "service": admitted.service,
                **_describe_explanation(explanation),
            }
        )

    def _explain(self, question: WhereQuestion, admitted: Admitted) -> Explanation:
        now = self._now()
        route, workspace = admitted.route, admitted.workspace
        call = PendingCall(
            call_id=QUESTION_ID,
            arrived_at=now,
            target_at=now + route.target_latency_s,
            timeout_at=now + route.timeout_s,
            prompt_tokens=question.prompt_tokens,
            priority=find_priority(route, workspace),
            model=question.model,
            allowed_regions=find_allowed_regions(route, workspace),
        )
        return self._fleet.dispatcher(admitted.service).explain(call, now)

    def _describe_refusal(self, refused: Refused) -> dict[str, Any]:
        retry_after_s = None
        if refused.status == UNAVAILABLE_STATUS:
            retry_after_s = find_retry_after_s(
                RejectReason(refused.reason),
                is_peer_ready=self._fleet.peers.has_ready_peer(self._now()),
            )
        return {
            "decision": "refused",
            "status": refused.status,
            "reason": refused.reason,
            "retry_after_s": retry_after_s,
        }


def _find_key(
    question: WhereQuestion, workspaces: Mapping[str, Workspace]
) -> str | None:
    if question.key is not None:
        return question.key.get_secret_value()
    if question.workspace is None:
        return None
    for key, workspace in workspaces.items():
        if workspace.name == question.workspace:
            return key
    raise QuestionError(
        "workspace: the configuration in force has none of this name with a key"
    )


def _describe_admission(
    route: Route | None, workspace: Workspace | None
) -> dict[str, Any]:
    content: dict[str, Any] = {"workspace": workspace.name if workspace else None}
    if route is None:
        return content
    regions = find_allowed_regions(route, workspace)
    shares = {share.service: share.weight for share in route.targets}
    return {
        **content,
        "route": route.name,
        "shares": shares if len(shares) > 1 else {},
        "priority": find_priority(route, workspace),
        "regions": None if regions is None else sorted(regions),
    }


def _describe_explanation(explanation: Explanation) -> dict[str, Any]:
    steps = [
        {
            "rule": step.reason,
            "left": len(step.left),
            "excluded": step.excluded,
            "waived": step.is_waived,
        }
        for step in explanation.steps
    ]
    content: dict[str, Any] = {
        "steps": steps,
        "best": [_describe_choice(each) for each in explanation.best],
    }
    decision = explanation.decision
    if decision is None:
        return {
            **content,
            "decision": "queued",
            "waits_s": explanation.waits_s,
            "queued_before": explanation.queued_before,
        }
    content["held_back"] = decision.held_back
    content["left_regions"] = decision.left_regions
    if isinstance(decision, Rejection):
        return {**content, **_describe_rejection(decision)}
    return {**content, **_describe_assignment(decision)}


def _describe_rejection(rejection: Rejection) -> dict[str, Any]:
    is_final = rejection.reason in FINAL_REJECT_REASONS
    return {
        "decision": "rejected",
        "status": UNAVAILABLE_STATUS,
        "reason": rejection.reason.value,
        "retry_after_s": None if is_final else rejection.retry_after_s,
    }


def _describe_assignment(assignment: Assignment) -> dict[str, Any]:
    return {
        "decision": "placed",
        "uses_permit": assignment.has_used_permit,
        "uses_token": assignment.has_used_token,
        "is_last_resort": assignment.is_last_resort,
    }


def _describe_choice(placement: Placement) -> dict[str, Any]:
    view = placement.upstream
    return {
        "upstream": view.instance_id,
        "zone": view.record.availability_zone,
        "region": view.region,
        "predicted_s": placement.predicted_s,
    }
