"""Tracks which versions of a model may still serve new requests.

A rollout makes a version the target of its model. Takes the rollouts seen in the
store or reported by other processes, each with its start time where known. Returns
the lowest version that may serve new requests, and when an older one expires.

Load pattern: a rollout starts under traffic, and the next one starts before the
first has reached every engine. Engines on an older version keep serving until it
expires, because stopping them earlier loses capacity.
"""

from bamboolever.fleet.messages import RolloutAge

# Subtracted from the configured timeout. Covers queueing at the upstream and the
# age of the upstream's entry in the store's list.
EXPIRY_MARGIN_S = 0.4
# For this long before it expires, a version counts as expiring: its upstreams are not
# filled, since a request that waits there for a slot would begin too late.
EXPIRING_PERIOD_S = 0.25


# Older rollouts are not reported: no process needs their start time any more.
MAX_REPORTED_AGE_S = 60.0


class VersionRollouts:
    """Start times of the rollouts of each model, in seconds of the caller's clock.

    A process that finds a rollout already in the store does not know when it
    started. It treats the version as required at once, until another process
    reports the rollout's age.
    """

    def __init__(self, timeout_s: float):
        self._timeout_s = timeout_s
        self._started_at: dict[str, dict[int, float | None]] = {}

    def add(self, model: str, version: int, now: float, *, is_new: bool = True) -> bool:
        """Record a rollout; return whether its version is newer than all known ones.

        ``is_new`` means that the rollout started just now. Otherwise its start time is
        unknown.
        """
        known = self._started_at.setdefault(model, {})
        if known and version <= max(known):
            return False
        known[version] = now if is_new else None
        return True

    def record_age(self, model: str, version: int, age_s: float, now: float) -> None:
        """Record a rollout's age in seconds, as reported by another process.

        Ignored if the start time is known already.
        """
        known = self._started_at.setdefault(model, {})
        if known.get(version) is None:
            known[version] = now - age_s

    def ages(self, now: float) -> tuple[RolloutAge, ...]:
        """Return the age of each rollout to report.

        Leaves out rollouts of unknown start and those past `MAX_REPORTED_AGE_S`.
        """
        return tuple(
            RolloutAge(model, version, now - started_at)
            for model, known in self._started_at.items()
            for version, started_at in known.items()
            if started_at is not None and now - started_at < MAX_REPORTED_AGE_S
        )

    def known_rollouts(self, now: float) -> tuple[RolloutAge, ...]:
        """Return the rollouts to report, and each model's newest of unknown start."""
        unknown = tuple(
            RolloutAge(model, max(known), None)
            for model, known in self._started_at.items()
            if known and known[max(known)] is None
        )
        return (*self.ages(now), *unknown)

    def newest(self, model: str) -> int | None:
        """Return the newest version rolled out for a model, or None."""
        return max(self._started_at.get(model, {}), default=None)

    @property
    def effective_timeout_s(self) -> float:
        """Seconds after a rollout starts until older versions expire."""
        return self._timeout_s - EXPIRY_MARGIN_S

    def expires_at(self, model: str, version: int) -> float | None:
        """Return when a version expires: from then on it serves no new requests.

        The first rollout of a newer version decides. None if no newer version was
        rolled out, or if the start of such a rollout is unknown.
        """
        newer_starts = [
            started_at
            for newer, started_at in self._started_at.get(model, {}).items()
            if newer > version
        ]
        known = [started_at for started_at in newer_starts if started_at is not None]
        if not known or len(known) < len(newer_starts):
            return None
        return self._expiry(min(known))

    def is_expiring(self, model: str, version: int, now: float) -> bool:
        """Return whether a version has expired or will within `EXPIRING_PERIOD_S`."""
        expires_at = self.expires_at(model, version)
        return expires_at is not None and now >= expires_at - EXPIRING_PERIOD_S

    def _expiry(self, started_at: float) -> float:
        return started_at + self.effective_timeout_s

    def min_version(self, model: str | None, now: float) -> int:
        """Return the lowest version of a model that may serve new requests.

        Returns 0, which admits every version, if no rollout requires one or ``model``
        is None.
        """
        if model is None:
            return 0
        due = (
            version
            for version, started_at in self._started_at.get(model, {}).items()
            if started_at is None or now >= self._expiry(started_at)
        )
        return max(due, default=0)
