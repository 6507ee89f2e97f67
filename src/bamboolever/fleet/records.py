"""Records of upstreams and model versions, as the product uses them."""

from dataclasses import dataclass

from bamboolever.net.addresses import Address


@dataclass(frozen=True)
class LayerRange:
    """Layers of one weight version; ``stop`` is exclusive."""

    start: int
    stop: int
    version: int


@dataclass(frozen=True)
class LoadedModel:
    """A model that an upstream serves, with the layers that it holds."""

    name: str
    version: int
    layers: LayerRange | None = None

    def has_all_layers(self, layers: int) -> bool:
        """Tell whether all layers are held, in the model's version."""
        held = self.layers
        if held is None:
            return True
        return held.start == 0 and held.stop >= layers and held.version == self.version


@dataclass(frozen=True)
class UpstreamRecord:
    """One upstream of the service list.

    ``started_ms`` is the Unix millisecond of its start: a restart may keep the id.
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


@dataclass(frozen=True)
class ModelVersion:
    """The version of a model that all its upstreams should serve."""

    model: str
    version: int


@dataclass(frozen=True)
class EngineReport:
    """What a model engine says of itself."""

    models: tuple[LoadedModel, ...]
    is_busy: bool
    orders_accepted: int
    queued: int
    running: int
    pace: float = 1.0
    started_ms: int | None = None
