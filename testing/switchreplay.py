"""Replays the switches of a fleet's engines from one version to the next.

Each agent plans its own switch from what it has heard by then, and an engine drains
until its last request ends or the plan's limit. Piece maps are late and get lost.
"""

import dataclasses
import random

from bamboolever.weights.groups import Group
from bamboolever.weights.switching import (
    SwitchInput,
    SwitchMember,
    is_joint_schedule,
    switch_turn,
)
from bamboolever.weights.view import Peer

STEP_S = 0.01
PLAN_EVERY_STEPS = 5
LOAD_S = 0.35
MAX_STREAM_S = 2.0
MAP_DELAYS_S = (0.02, 0.08)


@dataclasses.dataclass
class Engine:
    """One engine and its agent; times are seconds since the first was staged."""

    peer: Peer
    staged_at: float
    stream_s: float
    is_down: bool = False
    is_empty: bool = False
    heard_at: dict = dataclasses.field(default_factory=dict)
    starts_at: float | None = None
    serves_at: float | None = None

    @property
    def address(self):
        return str(self.peer.address)

    def serves(self, now, expires_at):
        if self.serves_at is not None and now >= self.serves_at:
            return True
        has_started = self.starts_at is not None and now >= self.starts_at
        return not (self.is_empty or has_started or now >= expires_at)


class SwitchReplay:
    """Engines in regions, of which each has a version staged at some time.

    The older version expires ``left_s`` after the first engine has the newer one, and
    they are staged evenly over ``staged_over_s``, in the order of ``seed``.
    """

    def __init__(
        self,
        policy,
        *,
        left_s,
        per_region=(12, 12, 12),
        staged_over_s=2.0,
        down=0,
        empty=0,
        map_loss=0.0,
        seed=1,
    ):
        self.policy = policy
        self.expires_at = left_s
        self.random = random.Random(seed)
        peers = [
            Peer(f"10.{region}.0.{index + 1}:7000", f"region-{region}")
            for region, count in enumerate(per_region)
            for index in range(count)
        ]
        self.random.shuffle(peers)
        last = max(1, len(peers) - down - 1)
        self.engines = [
            Engine(
                peer,
                staged_over_s * min(place, last) / last,
                self.random.uniform(0.0, MAX_STREAM_S),
                is_down=place > last,
                is_empty=place < empty,
            )
            for place, peer in enumerate(peers)
        ]
        for engine in self.engines:
            for other in self.engines:
                if not other.is_down and self.random.random() >= map_loss:
                    delay_s = self.random.uniform(*MAP_DELAYS_S)
                    engine.heard_at[other.address] = other.staged_at + delay_s
        self.alive = [engine for engine in self.engines if not engine.is_down]
        self.away = []
        self._run()

    def _run(self):
        step = 0
        while any(
            e.serves_at is None or e.serves_at > step * STEP_S for e in self.alive
        ):
            now = step * STEP_S
            for place, engine in enumerate(self.alive):
                is_due = (step + place) % PLAN_EVERY_STEPS == 0
                if engine.starts_at is None and engine.staged_at <= now and is_due:
                    self._plan(engine, now)
            self.away.append(
                sum(not engine.serves(now, self.expires_at) for engine in self.alive)
            )
            step += 1

    def _plan(self, engine, now):
        groups = sorted({Group.of(each.peer) for each in self.engines})
        is_joint = is_joint_schedule(len(self.engines))
        others = []
        for other in self.engines:
            is_local = other.peer.region == engine.peer.region
            if other is engine or not (is_local or is_joint):
                continue
            heard_at = engine.heard_at.get(other.address)
            if heard_at is not None and heard_at <= now:
                others.append(SwitchMember(other.address, heard_at))
            elif not (other.is_down and is_local):
                # Only agents of the same group are asked, so that silence means loss.
                others.append(SwitchMember(other.address, None))
        addresses = [each.address for each in self.engines]
        plan = self.policy.plan(
            SwitchInput(
                own=engine.address,
                version=2,
                staged_at=engine.staged_at,
                others=tuple(others),
                fleet_size=len(self.engines),
                phase=(
                    0.0
                    if is_joint
                    else groups.index(Group.of(engine.peer)) / len(groups)
                ),
                older_expires_at=self.expires_at,
                turn=switch_turn(engine.address, addresses, 2),
                is_superseded=False,
                serves_older=not engine.is_empty,
            )
        )
        if plan.starts_at <= now:
            engine.starts_at = now
            drain_s = 0.0 if engine.is_empty else engine.stream_s
            engine.serves_at = now + min(drain_s, plan.drain_limit_s) + LOAD_S

    def most_away(self):
        """Return the most engines that were out of service at once."""
        return max(self.away)

    def lost_engine_s(self):
        """Return the engine seconds in which engines served nothing."""
        return sum(self.away) * STEP_S

    def last_serves_at(self):
        """Return when the last engine served the new version."""
        return max(engine.serves_at for engine in self.alive)
