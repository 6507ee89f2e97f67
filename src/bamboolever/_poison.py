"""Finds requests that crash the upstreams which run them.

Pure. When an upstream dies, each call it ran is a suspect. A suspect is run
again only where no other suspect runs; one that is the only suspect at two
further deaths is quarantined, so at most three upstreams are lost to it here.
A suspect that completes is cleared.
"""

from collections import OrderedDict
from dataclasses import dataclass
from typing import final

SUSPICION_S = 60.0
QUARANTINE_S = 600.0
SOLE_DEATHS_TO_QUARANTINE = 2
MAX_SUSPECTS = 10_000
MAX_QUARANTINED = 10_000


@dataclass
class _Suspect:
    seen_at: float
    sole_deaths: int = 0


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

    def quarantined(self, now: float) -> list[str]:
        """Return the digests held back now."""
        return [digest for digest, until in self._quarantined.items() if now < until]

    def quarantine(self, digest: str, now: float) -> None:
        """Hold a request back, by own finding or another entry's word."""
        self._suspects.pop(digest, None)
        self._quarantined[digest] = now + QUARANTINE_S
        self._quarantined.move_to_end(digest)
        if len(self._quarantined) > MAX_QUARANTINED:
            self._quarantined.popitem(last=False)

    def lift(self, digest: str) -> None:
        """Let a request run again, by an operator's word."""
        self._quarantined.pop(digest, None)
        self._suspects.pop(digest, None)

    def on_upstream_died(self, digests: set[str], now: float) -> list[str]:
        """Blame the requests that ran; return those quarantined by this."""
        known = {digest for digest in digests if self.is_suspect(digest, now)}
        if not known:
            for digest in digests:
                self._add_suspect(digest, now)
            return []
        if len(known) > 1:
            return []
        (digest,) = known
        suspect = self._suspects[digest]
        suspect.sole_deaths += 1
        suspect.seen_at = now
        if suspect.sole_deaths < SOLE_DEATHS_TO_QUARANTINE:
            return []
        self.quarantine(digest, now)
        return [digest]

    def on_completed(self, digest: str) -> None:
        """Clear a request that ran to its end."""
        self._suspects.pop(digest, None)

    def _add_suspect(self, digest: str, now: float) -> None:
        self._suspects[digest] = _Suspect(now)
        self._suspects.move_to_end(digest)
        if len(self._suspects) > MAX_SUSPECTS:
            self._suspects.popitem(last=False)
