"""Tracks which versions of a model may still serve new requests.

A rollout makes a version the target of its model. Takes the rollouts seen in the
store, with the revision at which each was written, the revisions of the store that its
responses confirm, and what other processes report. Returns the lowest version that may
serve new requests, and when an older one expires.

The start of a rollout is the latest time at which it was certainly not in the store.
It is never later than the acknowledgement, from which the timeout counts. The latest of
all starts that are found or reported is the best, in whatever order they arrive.

Load pattern: a rollout starts under traffic, and the next one starts before the
first has reached every engine. Engines on an older version keep serving until it
expires, because stopping them earlier loses capacity. Processes that are suspended or
cut off meanwhile hear of the rollout late.
"""

from bamboolever.fleet.messages import RolloutAge
from bamboolever.fleet.storetimes import StoreTimes

# Older rollouts are not reported: no process needs their start time any more.
MAX_REPORTED_AGE_S = 60.0
# Rollouts of which the revision is kept, so that later responses can correct the start.
MAX_REVISIONS = 64


class VersionRollouts:
    """Start times of the rollouts of each model, in seconds of the caller's clock.

    A process that finds a rollout already in the store does not know when it
    started. It treats the version as required at once, until another process
    reports the rollout's age.
    """

    def __init__(self, timeout_s: float):
        self._timeout_s = timeout_s
        self._started_at: dict[str, dict[int, float | None]] = {}
        self._times = StoreTimes()
        self._revisions: dict[tuple[str, int], int] = {}

    def add(
        self,
        model: str,
        version: int,
        started_at: float | None = None,
        *,
        revision: int | None = None,
    ) -> bool:
        """Record a rollout; return whether its version is newer than all known ones.

        It was certainly not named at ``started_at``; None if no such time is known.
        ``revision`` is that of the store at which it was named, if known.
        """
        known = self._started_at.setdefault(model, {})
        is_newest = not known or version > max(known)
        if is_newest or started_at is not None:
            self._merge(model, version, started_at)
        if revision is None or version not in known:
            return is_newest
        # An object that is written again was named at its first revision.
        named_at = min(revision, self._revisions.get((model, version), revision))
        self._revisions[model, version] = named_at
        if len(self._revisions) > MAX_REVISIONS:
            del self._revisions[next(iter(self._revisions))]
        self._merge(model, version, self._times.latest_before(named_at))
        return is_newest

    def confirm(self, era: int, revision: int, as_of: float) -> None:
        """Record that the store had no higher revision at ``as_of``."""
        self.on_store_restored(era, as_of)
        if not self._times.confirm(era, revision, as_of):
            return
        for (model, version), named_at in self._revisions.items():
            if revision < named_at:
                self._merge(model, version, as_of)

    def on_store_restored(self, era: int, now: float) -> None:
        """Forget the revisions of older eras; the starts stay."""
        if era > self._times.era:
            self._revisions.clear()
            self._times.on_restored(era, now)

    def record_age(self, model: str, version: int, age_s: float, as_of: float) -> None:
        """Record the age that another process reports of a rollout.

        It said so at ``as_of`` or later.
        """
        self._merge(model, version, as_of - age_s)

    def _merge(self, model: str, version: int, started_at: float | None) -> None:
        known = self._started_at.setdefault(model, {})
        starts = (known.get(version), started_at)
        known[version] = max(
            (start for start in starts if start is not None), default=None
        )

    def age_s(self, model: str, version: int, now: float) -> float | None:
        """Return the age of a rollout, at most; None if its start is unknown."""
        started_at = self._started_at.get(model, {}).get(version)
        return None if started_at is None else now - started_at

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

    def is_known(self, model: str, version: int) -> bool:
        """Return whether the rollout of a version is known."""
        return version in self._started_at.get(model, {})

    def newest(self, model: str) -> int | None:
        """Return the newest version rolled out for a model, or None."""
        return max(self._started_at.get(model, {}), default=None)

    @property
    def timeout_s(self) -> float:
        """Seconds after a rollout starts until older versions expire."""
        return self._timeout_s

    @property
    def rollout_count(self) -> int:
        """Number of known rollouts of all models."""
        return sum(len(known) for known in self._started_at.values())

    def expires_at(self, model: str, version: int) -> float | None:
        """Return when a version expires: from then on no request may begin on it.

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

    def _expiry(self, started_at: float) -> float:
        return started_at + self._timeout_s

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
