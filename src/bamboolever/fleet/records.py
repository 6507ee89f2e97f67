"""Records of upstreams, models and weight versions, decoded from the platform."""

import zlib
from dataclasses import dataclass

from bamboolever.net.addresses import Address


@dataclass(frozen=True)
class LayerRange:
    """Consecutive layers of one weight version; ``stop`` is exclusive."""

    start: int
    stop: int
    version: int


@dataclass(frozen=True)
class LoadedModel:
    """A model that an upstream serves, with the layers that it has loaded.

    ``layers`` None means that the upstream does not report layers.
    """

    name: str
    version: int
    layers: LayerRange | None = None

    def has_all_layers(self, layer_count: int) -> bool:
        """Return whether all of the model's layers are loaded, in its version.

        Returns True if the upstream does not report layers.
        """
        loaded = self.layers
        if loaded is None:
            return True
        return (
            loaded.start == 0
            and loaded.stop >= layer_count
            and loaded.version == self.version
        )


@dataclass(frozen=True)
class StatedLoad:
    """The load that an upstream states with a response.

    ``running`` and ``waiting`` are requests of all entries. ``slowness`` is how much
    longer than usual work takes at this moment, 1.0 as long; None if not stated.
    """

    running: int
    waiting: int
    slots: int
    slowness: float | None = None

    @property
    def active(self) -> int:
        """Number of all requests at the upstream."""
        return self.running + self.waiting


@dataclass(frozen=True)
class UpstreamRecord:
    """One upstream in the store's list.

    ``slots`` is the number of requests it runs at once and ``cold_remaining_s`` the
    seconds until its warm-up ends. ``started_ms`` is the Unix time of its start in
    milliseconds: it differs after a restart, even if the id stays the same.
    ``heartbeat`` counts the heartbeats of this process; None if unknown.
    """

    instance_id: str
    service: str
    address: Address
    availability_zone: str
    slots: int
    is_draining: bool
    cold_remaining_s: float = 0.0
    started_ms: int | None = None
    models: tuple[LoadedModel, ...] = ()
    heartbeat: int | None = None


@dataclass(frozen=True)
class ModelVersion:
    """A version of a model's weights."""

    model: str
    version: int


@dataclass(frozen=True)
class EngineReport:
    """State that a model engine reports.

    ``is_busy`` is set while it loads a version. ``orders_accepted`` counts the load
    orders that it accepted since its start, ``queued`` and ``running`` its requests.
    ``slowdown`` is the factor by which it is slower than its profile. ``started_ms`` is
    the Unix time of its start in milliseconds.
    """

    models: tuple[LoadedModel, ...]
    is_busy: bool
    orders_accepted: int
    queued: int
    running: int
    slowdown: float = 1.0
    started_ms: int | None = None


def upstream_key(instance_id: str, started_ms: int | None) -> int:
    """Return a signed 32-bit key of an upstream, which changes when it restarts.

    ``started_ms`` is the Unix time of the upstream's start in milliseconds.
    """
    key = zlib.crc32(f"{instance_id}\0{started_ms}".encode())
    return key - 2**32 if key >= 2**31 else key
