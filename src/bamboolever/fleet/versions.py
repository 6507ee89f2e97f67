"""Which weight version requests may still be served by.

Load pattern: a new version is named under traffic, and another before the first
has reached all. Upstreams on an older one go on serving until its successor's
time is up, so that capacity is not lost early.
"""

# Taken off the bound: queueing at the upstream and the age of its list entry.
VERSION_MARGIN_S = 0.4
# How long before its end a version is used with care.
ENDING_S = 0.25


# Namings older than this no longer matter to anybody.
MAX_TOLD_AGE_S = 60.0


class VersionRollouts:
    """Named versions by model, each with the time at which it was named.

    A process that finds a version already named does not know since when: the
    version counts as required at once, until another process tells its age.
    """

    def __init__(self, timeout_s: float):
        self._timeout_s = timeout_s
        self._named_at: dict[str, dict[int, float | None]] = {}

    def add(self, model: str, version: int, now: float, *, is_new: bool = True) -> bool:
        """Note a named version; return whether it is newer than the known ones.

        ``is_new`` tells whether it was named just now.
        """
        known = self._named_at.setdefault(model, {})
        if known and version <= max(known):
            return False
        known[version] = now if is_new else None
        return True

    def record_age(self, model: str, version: int, age_s: float, now: float) -> None:
        """Note what another process knows of a naming."""
        known = self._named_at.setdefault(model, {})
        if known.get(version) is None:
            known[version] = now - age_s

    def ages(self, now: float) -> list[tuple[str, int, float]]:
        """Return model, version and age of the namings whose time is known."""
        return [
            (model, version, now - named_at)
            for model, known in self._named_at.items()
            for version, named_at in known.items()
            if named_at is not None and now - named_at < MAX_TOLD_AGE_S
        ]

    def newest(self, model: str) -> int | None:
        """Return the newest named version, or None."""
        return max(self._named_at.get(model, {}), default=None)

    @property
    def timeout_s(self) -> float:
        """Seconds after a naming in which an older version may begin requests."""
        return self._timeout_s - VERSION_MARGIN_S

    def expires_at(self, model: str, version: int) -> float | None:
        """Return when a version may no longer begin requests.

        None where that is not known, or where nothing newer was named.
        """
        namings = [
            named_at
            for newer, named_at in self._named_at.get(model, {}).items()
            if newer > version
        ]
        known = [named_at for named_at in namings if named_at is not None]
        if not known or len(known) < len(namings):
            return None
        return self._due(min(known))

    def is_expiring(self, model: str, version: int, now: float) -> bool:
        """Tell whether a version may begin requests for a moment only."""
        expires_at = self.expires_at(model, version)
        return expires_at is not None and now >= expires_at - ENDING_S

    def _due(self, named_at: float) -> float:
        return named_at + self.timeout_s

    def min_version(self, model: str | None, now: float) -> int:
        """Return the lowest version that may serve new requests."""
        if model is None:
            return 0
        due = (
            version
            for version, named_at in self._named_at.get(model, {}).items()
            if named_at is None or now >= self._due(named_at)
        )
        return max(due, default=0)
