"""Decides which requests crash upstreams and must not run again.

`PoisonGuard` records each upstream's death with the requests that were running, and
the requests that complete. It identifies a request by a digest of its content, so that
it is recognized when a caller sends it again.

When an upstream dies, every request that it ran, of all entries, becomes a suspect.
A suspect runs again only while nothing else runs at its upstream; the agent enforces
that. One that runs alone at two further deaths is quarantined, so at most three
upstreams are lost to one request. A suspect that completes is cleared.

Nothing here does I/O or reads a clock.
"""

from collections import OrderedDict
from dataclasses import dataclass
from typing import final

#: Time after an upstream's death in which its requests are suspects.
SUSPICION_S = 60.0
QUARANTINE_S = 600.0
QUARANTINE_AFTER_EXCLUSIVE_DEATHS = 2
MAX_SUSPECTS = 10_000
MAX_QUARANTINED = 10_000


@dataclass
class _Suspect:
    last_death_at: float
    exclusive_deaths: int = 0


@final
class PoisonGuard:
    """The suspected and quarantined requests, by digest. Times are in seconds."""

    def __init__(self) -> None:
        self._suspects: OrderedDict[str, _Suspect] = OrderedDict()
        self._quarantined: OrderedDict[str, float] = OrderedDict()

    def is_suspect(self, digest: str, now: float) -> bool:
        """Return whether the request must run alone at its upstream."""
        suspect = self._suspects.get(digest)
        return suspect is not None and now - suspect.last_death_at < SUSPICION_S

    def is_quarantined(self, digest: str, now: float) -> bool:
        """Return whether the request must not run."""
        ends_at = self._quarantined.get(digest)
        return ends_at is not None and now < ends_at

    def list_quarantined(self, now: float) -> list[str]:
        """Return the digests of the requests that are quarantined at ``now``."""
        return [
            digest for digest, ends_at in self._quarantined.items() if now < ends_at
        ]

    def quarantine(self, digest: str, now: float) -> None:
        """Quarantine a request for `QUARANTINE_S`, found here or by another entry."""
        self._suspects.pop(digest, None)
        self._quarantined[digest] = now + QUARANTINE_S
        self._quarantined.move_to_end(digest)
        if len(self._quarantined) > MAX_QUARANTINED:
            self._quarantined.popitem(last=False)

    def lift_quarantine(self, digest: str) -> None:
        """End a request's quarantine, for example when an operator deletes it."""
        self._quarantined.pop(digest, None)
        self._suspects.pop(digest, None)

    def on_upstream_died(
        self, digests: set[str], now: float, *, is_exclusive: bool
    ) -> list[str]:
        """Record the requests that ran when an upstream died.

        Returns the digests that are quarantined by this death. ``is_exclusive`` means
        that the upstream ran one suspect and nothing else.
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
        suspect.exclusive_deaths += 1
        if suspect.exclusive_deaths < QUARANTINE_AFTER_EXCLUSIVE_DEATHS:
            return []
        self.quarantine(digest, now)
        return [digest]

    def on_completed(self, digest: str) -> None:
        """Stop treating a request as a suspect, since it completed."""
        self._suspects.pop(digest, None)

    def _add_suspect(self, digest: str, now: float) -> None:
        suspect = self._suspects.setdefault(digest, _Suspect(now))
        suspect.last_death_at = now
        self._suspects.move_to_end(digest)
        if len(self._suspects) > MAX_SUSPECTS:
            self._suspects.popitem(last=False)
