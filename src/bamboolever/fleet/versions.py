"""Which weight version requests may still be served by.

Load pattern: a new version is named under traffic, and another before the first
has reached all. Upstreams on an older one go on serving until its successor's
time is up, so that capacity is not lost early.
"""

# Taken off the bound: queueing at the upstream and the age of its list entry.
VERSION_MARGIN_S = 0.4


class NamedVersions:
    """Named versions by model, each with the time from which it is required."""

    def __init__(self, timeout_s: float):
        self._timeout_s = timeout_s
        self._due: dict[str, dict[int, float]] = {}

    def put(self, model: str, version: int, now: float) -> bool:
        """Note a named version; return whether it is newer than the known ones."""
        known = self._due.setdefault(model, {})
        if known and version <= max(known):
            return False
        known[version] = now + self._timeout_s - VERSION_MARGIN_S
        return True

    def newest(self, model: str) -> int | None:
        """Return the newest named version, or None."""
        return max(self._due.get(model, {}), default=None)

    def models(self) -> list[str]:
        """Return the models that have a named version."""
        return list(self._due)

    def required(self, model: str | None, now: float) -> int:
        """Return the lowest version that may serve new requests."""
        due = self._due.get(model, {}) if model is not None else {}
        return max((version for version, at in due.items() if now >= at), default=0)
