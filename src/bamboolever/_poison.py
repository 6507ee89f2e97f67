"""Finds requests that crash the upstreams which run them.

Pure. When an upstream dies, every call that it ran, of all entries, is a
suspect. A suspect runs again only where nothing else runs; an agent sees to
that. One that is alone at two further deaths is quarantined, so at most three
upstreams are lost to it. A suspect that completes is cleared.
"""

from collections import OrderedDict
from dataclasses import dataclass
from typing import final

SUSPICION_S = 60.0
QUARANTINE_S = 600.0
LONE_DEATHS_TO_QUARANTINE = 2
MAX_SUSPECTS = 10_000
MAX_QUARANTINED = 10_000


@dataclass
class _Suspect:
    seen_at: float
    lone_deaths: int = 0


@final
class PoisonGuard:
    """Suspects and quarantined requests, by digest of the request."""

    def __init__(self) -> None:
        self._suspects: OrderedDict[str, _Suspect] = OrderedDict()
        self._quarantined: OrderedDict[str, float] = OrderedDict()

    def is_suspect(self, digest: str, now: float) -> bool:
        """Whether the request must run apart from other suspects."""
        suspect = self._suspects.get(digest)
        return suspect is not None and now - suspect.seen_at < SUSPICION_S

    def is_quarantined(self, digest: str, now: float) -> bool:
        """Whether the request must not run."""
        until = self._quarantined.get(digest)
        return until is not None and now < until

    def list_quarantined(self, now: float) -> list[str]:
        """Return the digests held back now."""
        return [digest for digest, until in self._quarantined.items() if now < until]

    def quarantine(self, digest: str, now: float) -> None:
        """Hold a request back, by own finding or another entry's word."""
        self._suspects.pop(digest, None)
        self._quarantined[digest] = now + QUARANTINE_S
        self._quarantined.move_to_end(digest)
        if len(self._quarantined) > MAX_QUARANTINED:
            self._quarantined.popitem(last=False)

    def lift_quarantine(self, digest: str) -> None:
        """Let a request run again, by an operator's word."""
        self._quarantined.pop(digest, None)
        self._suspects.pop(digest, None)

    def on_upstream_died(
        self, digests: set[str], now: float, *, is_exclusive: bool
    ) -> list[str]:
        """Blame the requests that ran; return those quarantined by this.

        ``is_exclusive`` says that an agent ran one suspect apart from all else.
        """
        if not is_exclusive or len(digests) != 1:
            for digest in digests:
                self._add_suspect(digest, now)
            return []
        (digest,) = digests
        if self.is_quarantined(digest, now):
            return []
        self._add_suspect(digest, now)
        suspect = self._suspects[digest]
        suspect.lone_deaths += 1
        if suspect.lone_deaths < LONE_DEATHS_TO_QUARANTINE:
            return []
        self.quarantine(digest, now)
        return [digest]

    def on_completed(self, digest: str) -> None:
        """Clear a request that ran to its end."""
        self._suspects.pop(digest, None)

    def _add_suspect(self, digest: str, now: float) -> None:
        suspect = self._suspects.setdefault(digest, _Suspect(now))
        suspect.seen_at = now
        self._suspects.move_to_end(digest)
        if len(self._suspects) > MAX_SUSPECTS:
            self._suspects.popitem(last=False)
