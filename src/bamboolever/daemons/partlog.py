"""Logs, counts and lists the parts of prompts that are suspected or blocked."""

import logging
from collections import OrderedDict
from dataclasses import dataclass
from typing import Any, final

from bamboolever._telemetry import Telemetry
from bamboolever.calls.parts import PartState, PartTracker, PromptParts
from bamboolever.calls.poison import Crash

logger = logging.getLogger(__name__)

MAX_NAMES = 5000


@dataclass(frozen=True)
class ChargedPart:
    """A part that is not clear, with the crashes that it is charged with.

    ``part_id`` is None if no request of this entry had it.
    """

    digest: int
    part_id: str | None
    state: PartState
    crashes: tuple[Crash, ...]


@final
class PartLog:
    """Writes a line when a part's state changes; times are of the entry's clock."""

    def __init__(self, telemetry: Telemetry, parts: PartTracker):
        self._telemetry = telemetry
        self._parts = parts
        self._states: dict[int, PartState] = {}
        self._part_ids: OrderedDict[int, str] = OrderedDict()
        self._upstream_ids: OrderedDict[int, str] = OrderedDict()

    def learn_parts(self, prompt: PromptParts) -> None:
        """Remember the ids of a request's parts; call if one of them has a crash."""
        for digest, part_id in zip(prompt.digests, prompt.ids, strict=True):
            _remember(self._part_ids, digest, part_id)

    def learn_upstream(self, key: int, instance_id: str) -> None:
        """Remember the instance id of an upstream that broke off a response."""
        _remember(self._upstream_ids, key, instance_id)

    def note(self, digests: list[int], now: float) -> None:
        """Log which of these parts are in another state than when last noted."""
        for digest in digests:
            state = self._parts.state(digest)
            if state is self._states.get(digest, PartState.CLEAR):
                continue
            if state is PartState.CLEAR:
                del self._states[digest]
            else:
                self._states[digest] = state
            self._log(digest, state, now)

    def charged(self) -> list[ChargedPart]:
        """Return the parts that are suspected or blocked."""
        parts = [self._describe(digest) for digest in self._parts.facts.repeated()]
        return [part for part in parts if part.state is not PartState.CLEAR]

    def render(self, now: float) -> list[dict[str, Any]]:
        """Return the parts that are suspected or blocked, for a JSON document."""
        return [
            {"state": part.state.value, **self._fields(part, now)}
            for part in self.charged()
        ]

    def find_digest(self, name: str) -> int | None:
        """Return the digest of the charged part with this id or digest, or None."""
        for part in self.charged():
            if name in (part.part_id, _digest_text(part.digest)):
                return part.digest
        return None

    def _describe(self, digest: int) -> ChargedPart:
        return ChargedPart(
            digest,
            self._part_ids.get(digest),
            self._parts.state(digest),
            tuple(self._parts.charged(digest)),
        )

    def _log(self, digest: int, state: PartState, now: float) -> None:
        part = self._describe(digest)
        self._telemetry.count("part.state", 1, state=state.value)
        logger.info(f"part {state.value}", extra=self._fields(part, now))

    def _fields(self, part: ChargedPart, now: float) -> dict[str, Any]:
        return {
            "part": part.part_id,
            "digest": _digest_text(part.digest),
            "crashes": [
                {
                    "upstream": self._upstream_ids.get(crash.upstream, crash.upstream),
                    "age_s": round(now - crash.sent_at, 3),
                    "tried_parts": crash.tried_parts,
                }
                for crash in part.crashes
            ],
            "ruled_out": self._count_ruled_out(part),
        }

    def _count_ruled_out(self, part: ChargedPart) -> int:
        """Return how many other parts at these crashes were answered before."""
        upstreams = {crash.upstream for crash in part.crashes}
        facts = self._parts.facts
        return sum(
            other != part.digest and facts.completed_at(other) is not None
            for other in facts.repeated()
            if upstreams & {crash.upstream for crash in facts.crashes_by(other)}
        )


def _digest_text(digest: int) -> str:
    return f"{digest % 2**64:016x}"


def _remember(table: OrderedDict[int, str], key: int, text: str) -> None:
    table[key] = text
    table.move_to_end(key)
    if len(table) > MAX_NAMES:
        table.popitem(last=False)
