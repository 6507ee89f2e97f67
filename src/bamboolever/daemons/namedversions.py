"""The versions that the operator named, as one agent hears of them.

Takes what the store, entries and other agents tell. Passes the versions on that were
not known, with the earliest time at which each may have been named.

Only the operator's write in the store names a version. Entries and agents may repeat
what came from there. What the origin or an engine says of itself names none.

Load pattern: a version is named for a whole fleet at once. An agent that hears of it
late counts as silent, and others read its share of the pieces from the origin.
"""

from collections.abc import Callable
from typing import final

from bamboolever.fleet.messages import PieceMap, RolloutAge
from bamboolever.fleet.records import ModelVersion
from bamboolever.fleet.versions import VersionRollouts


@final
class NamedVersions:
    """Records named versions in ``rollouts``, and passes new ones on.

    ``now`` returns seconds of the agent's clock. ``on_named`` is called with a version
    and the time at which it was named at the earliest.
    """

    def __init__(
        self,
        rollouts: VersionRollouts,
        now: Callable[[], float],
        on_named: Callable[[ModelVersion, float], None],
    ):
        self._rollouts = rollouts
        self._now = now
        self._on_named = on_named

    def on_written(self, model_version: ModelVersion, revision: int | None) -> None:
        """Take over what the operator wrote, at this revision of the store."""
        model, version = model_version.model, model_version.version
        self._rollouts.add(model, version, revision=revision)
        self._pass_on(model_version)

    def on_reported(self, rollout: RolloutAge, said_after: float | None) -> None:
        """Take over what another process heard of, and said after this time."""
        started_at = None
        if rollout.age_s is not None and said_after is not None:
            started_at = said_after - rollout.age_s
        if self._rollouts.add(rollout.model, rollout.version, started_at):
            self._pass_on(ModelVersion(rollout.model, rollout.version))

    def on_piece_map(self, piece_map: PieceMap) -> None:
        """Take over a named version that another agent already transfers."""
        model, version = piece_map.model, piece_map.version
        is_newer = version > (self._rollouts.newest(model) or 0)
        if piece_map.is_named and is_newer:
            self.on_reported(RolloutAge(model, version, None), None)

    def _pass_on(self, model_version: ModelVersion) -> None:
        now = self._now()
        model, version = model_version.model, model_version.version
        age_s = self._rollouts.age_s(model, version, now)
        self._on_named(model_version, now - (age_s or 0.0))
