"""Decides which upstreams may take a request, by an ordered list of rules.

Takes a request and upstreams. Returns those that may take it now, those that could if
their rate allowed it, and for each other the reason of the first rule that it fails.
Placement, retries, resumed streams and rejections use the same rules, so that none of
them reaches an upstream that another one may not.
"""

import math
from abc import ABC, abstractmethod
from collections.abc import Sequence
from dataclasses import dataclass
from enum import Enum
from typing import final

from bamboolever.calls.placement import PendingCall
from bamboolever.calls.upstream import UpstreamView
from bamboolever.fleet.evacuations import Evacuations, ZoneUse
from bamboolever.fleet.versions import VersionRollouts

# A waivable rule is ignored if it admits less than this share of the upstreams.
MIN_HEALTHY_SHARE = 0.5


class IneligibleReason(Enum):
    """Why an upstream may not take a request; the value is a label of logs."""

    TRIED = "tried"
    UNAVAILABLE = "unavailable"
    REGION = "region"
    EVACUATED = "evacuated"
    VERSION = "version"
    EJECTED = "ejected"
    LIMITED = "limited"
    COLD = "cold"


@dataclass(frozen=True)
class RuleStep:
    """What a rule leaves of the upstreams that the rules before it left.

    ``reason`` is its label, ``excluded`` and ``left`` are instance ids. ``is_waived``
    is set if too few upstreams meet the rule, so that it excludes none.
    """

    reason: str
    excluded: tuple[str, ...]
    left: tuple[str, ...]
    is_waived: bool = False


class EligibilityRule(ABC):
    """One condition that an upstream must meet to take a request.

    ``is_waivable`` is set if the rule is ignored when too few upstreams meet it.
    ``is_rate`` is set for rate limits: an upstream that fails the rule takes requests
    again shortly, so that the request may wait for it.
    """

    reason: IneligibleReason
    is_waivable = False
    is_rate = False

    def applies_to(self, call: PendingCall) -> bool:
        """Return whether the rule can exclude an upstream for this request."""
        return True

    @abstractmethod
    def admits(self, call: PendingCall, view: UpstreamView, now: float) -> bool:
        """Return whether the upstream may take the request at ``now``."""


@final
class TriedRule(EligibilityRule):
    """Excludes upstreams that the request was sent to before."""

    reason = IneligibleReason.TRIED

    def applies_to(self, call: PendingCall) -> bool:
        """Return whether the request was sent to any upstream."""
        return bool(call.tried)

    def admits(self, call: PendingCall, view: UpstreamView, now: float) -> bool:
        """Return whether the request was not sent to this upstream."""
        return view.instance_id not in call.tried


@final
class AvailabilityRule(EligibilityRule):
    """Excludes upstreams that drain, shut down, switch versions or are closed."""

    reason = IneligibleReason.UNAVAILABLE

    def admits(self, call: PendingCall, view: UpstreamView, now: float) -> bool:
        """Return whether the upstream accepts new requests from this entry."""
        return view.can_accept_requests(now)


@final
class RegionRule(EligibilityRule):
    """Excludes upstreams outside the regions that the request may be sent to.

    One whose region is unknown takes no request that is bound to regions.
    """

    reason = IneligibleReason.REGION

    def applies_to(self, call: PendingCall) -> bool:
        """Return whether the request is bound to regions."""
        return call.allowed_regions is not None

    def admits(self, call: PendingCall, view: UpstreamView, now: float) -> bool:
        """Return whether the upstream is in a region that the request allows."""
        return call.allowed_regions is None or view.region in call.allowed_regions


@final
class EvacuationRule(EligibilityRule):
    """Excludes upstreams in evacuated zones.

    With ``takes_last_resort``, upstreams that may still be used as a last resort are
    admitted.
    """

    reason = IneligibleReason.EVACUATED

    def __init__(self, evacuations: Evacuations, *, takes_last_resort: bool):
        self._evacuations = evacuations
        self._takes_last_resort = takes_last_resort

    def applies_to(self, call: PendingCall) -> bool:
        """Return whether any zone is evacuated."""
        return not self._evacuations.is_empty

    def admits(self, call: PendingCall, view: UpstreamView, now: float) -> bool:
        """Return whether the zone of the upstream may be used."""
        use = self._evacuations.use_of(view.record.availability_zone, now)
        if use is ZoneUse.LAST_RESORT:
            return self._takes_last_resort
        return use is ZoneUse.FREE


@final
class VersionRule(EligibilityRule):
    """Excludes engines without the model, or with a version that has expired.

    Sets ``view.begin_by`` to the time by which a request has to begin.
    """

    reason = IneligibleReason.VERSION

    def __init__(self, versions: VersionRollouts):
        self._versions = versions

    def admits(self, call: PendingCall, view: UpstreamView, now: float) -> bool:
        """Return whether a request that is sent now begins on a valid version."""
        view.begin_by = math.inf
        if call.model is None:
            return True
        version = view.served_version(call.model, now)
        if version is None or version < self._versions.min_version(call.model, now):
            return False
        expires_at = self._versions.expires_at(call.model, version)
        if expires_at is None:
            return True
        view.begin_by = expires_at - view.withdrawal_lead_s
        return now < view.begin_by


@final
class EjectionRule(EligibilityRule):
    """Excludes upstreams that failed repeatedly, unless most of them did.

    If most upstreams are ejected, the cause is not theirs alone: all are used.
    """

    reason = IneligibleReason.EJECTED
    is_waivable = True

    def admits(self, call: PendingCall, view: UpstreamView, now: float) -> bool:
        """Return whether the upstream is not ejected."""
        return not view.is_ejected(now)


@final
class LimitRule(EligibilityRule):
    """Excludes upstreams that named a limit and for which there is no permit."""

    reason = IneligibleReason.LIMITED
    is_rate = True

    def admits(self, call: PendingCall, view: UpstreamView, now: float) -> bool:
        """Return whether the upstream has no limit, or a permit is left."""
        return view.limit.may_send(now)


@final
class ColdStartRule(EligibilityRule):
    """Excludes cold upstreams for which this entry has no token.

    Cold engines of other cells are excluded: the rate is divided among the entries of
    their own cell. ``is_needed`` is unset if no upstream of the service has a bound.
    """

    reason = IneligibleReason.COLD
    is_rate = True

    def __init__(self) -> None:
        self.is_needed = False

    def applies_to(self, call: PendingCall) -> bool:
        """Return whether any upstream of the service can be cold."""
        return self.is_needed

    def admits(self, call: PendingCall, view: UpstreamView, now: float) -> bool:
        """Return whether the upstream is not cold, or a token is left."""
        if not view.is_home:
            return not view.cold.is_cold(now)
        return view.cold.may_send(now)


@final
class EligibilityRules:
    """The rules of one service, in the order in which they are checked."""

    def __init__(self, rules: Sequence[EligibilityRule]):
        self.rules = tuple(rules)
        self._lasting = [rule for rule in rules if not rule.is_rate]
        self._rates = [rule for rule in rules if rule.is_rate]

    @classmethod
    def from_versions(
        cls,
        versions: VersionRollouts,
        evacuations: Evacuations | None = None,
        *,
        takes_last_resort: bool = False,
    ) -> "EligibilityRules":
        """Return the rules that hold on every deployment.

        With ``takes_last_resort`` they are those for requests that find no room outside
        of the zones whose evacuation has just begun. None is for deployments without
        evacuations.
        """
        if evacuations is None:
            evacuations = Evacuations(None)
        return cls(
            [
                TriedRule(),
                AvailabilityRule(),
                RegionRule(),
                EvacuationRule(evacuations, takes_last_resort=takes_last_resort),
                VersionRule(versions),
                EjectionRule(),
                LimitRule(),
                ColdStartRule(),
            ]
        )

    def set_upstreams(self, upstreams: Sequence[UpstreamView]) -> None:
        """Take the upstreams of the service; rules that none of them needs are idle."""
        for rule in self.rules:
            if isinstance(rule, ColdStartRule):
                rule.is_needed = any(view.cold.bound for view in upstreams)

    def find_eligible(
        self, call: PendingCall, upstreams: Sequence[UpstreamView], now: float
    ) -> list[UpstreamView]:
        """Return the upstreams that may take the request now."""
        eligible = self.find_usable(call, upstreams, now)
        for rule in self._rates:
            if rule.applies_to(call):
                eligible = [view for view in eligible if rule.admits(call, view, now)]
        return eligible

    def find_held_back(
        self, call: PendingCall, upstreams: Sequence[UpstreamView], now: float
    ) -> list[UpstreamView]:
        """Return the upstreams that could take the request but for their rate."""
        return [
            view
            for view in self.find_usable(call, upstreams, now)
            if not all(rule.admits(call, view, now) for rule in self._rates)
        ]

    def find_usable(
        self, call: PendingCall, upstreams: Sequence[UpstreamView], now: float
    ) -> list[UpstreamView]:
        """Return the upstreams that could take the request, whatever their rate."""
        usable = list(upstreams)
        for rule in self._lasting:
            if rule.applies_to(call):
                usable = _apply(rule, call, usable, now)
        return usable

    def explain(
        self, call: PendingCall, upstreams: Sequence[UpstreamView], now: float
    ) -> dict[str, IneligibleReason]:
        """Return the reason of each upstream that may not take the request.

        Keys are instance ids. The reason is that of the first rule that excludes it.
        """
        reasons: dict[str, IneligibleReason] = {}
        left = list(upstreams)
        for rule in (*self._lasting, *self._rates):
            if not rule.applies_to(call):
                continue
            remaining = _apply(rule, call, left, now)
            kept = {view.instance_id for view in remaining}
            for view in left:
                if view.instance_id not in kept:
                    reasons[view.instance_id] = rule.reason
            left = remaining
        return reasons

    def find_steps(
        self, call: PendingCall, upstreams: Sequence[UpstreamView], now: float
    ) -> tuple[RuleStep, ...]:
        """Return what each rule leaves, in order, without those that do not apply."""
        steps: list[RuleStep] = []
        left = list(upstreams)
        for rule in (*self._lasting, *self._rates):
            if not rule.applies_to(call):
                continue
            remaining = _apply(rule, call, left, now)
            kept = {view.instance_id for view in remaining}
            candidates = (view.instance_id for view in left)
            steps.append(
                RuleStep(
                    rule.reason.value,
                    tuple(each for each in candidates if each not in kept),
                    tuple(view.instance_id for view in remaining),
                    rule.is_waivable
                    and not all(rule.admits(call, view, now) for view in remaining),
                )
            )
            left = remaining
        return tuple(steps)


def _apply(
    rule: EligibilityRule, call: PendingCall, views: list[UpstreamView], now: float
) -> list[UpstreamView]:
    admitted = [view for view in views if rule.admits(call, view, now)]
    if rule.is_waivable and len(admitted) < MIN_HEALTHY_SHARE * len(views):
        return views
    return admitted
