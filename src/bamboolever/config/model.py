"""Types of a configuration, as the product uses them."""

from collections.abc import Mapping
from dataclasses import dataclass, field
from enum import Enum

from bamboolever.net.addresses import Address
from bamboolever.net.handlers import HttpLimits


class RouteKind(Enum):
    """What may be done with a route's requests."""

    IDEMPOTENT = "idempotent"
    NON_IDEMPOTENT = "non_idempotent"
    STREAMING = "streaming"


@dataclass(frozen=True)
class ServiceShare:
    """A service and its weight in a route's traffic split."""

    service: str
    weight: float


@dataclass(frozen=True)
class Route:
    """Requests of one host below one path; times in seconds."""

    name: str
    host: str
    path_prefix: str
    kind: RouteKind
    targets: tuple[ServiceShare, ...]
    timeout_s: float
    target_latency_s: float
    target_gap_s: float | None = None
    max_attempts: int = 1
    priority: int = 0
    is_anonymous: bool = False
    can_resume: bool = False

    @property
    def is_retry_safe(self) -> bool:
        """Whether a request may run more than once."""
        if self.kind is RouteKind.IDEMPOTENT:
            return True
        return self.kind is RouteKind.STREAMING and self.can_resume


@dataclass(frozen=True)
class EngineProfile:
    """What a service declares of its model engines."""

    slots: int
    step_s: float
    step_per_sequence_s: float
    step_per_context_token_s: float
    prefill_tokens_per_s: float
    prefill_s_per_token_pair: float
    chunk_tokens: int
    steps_per_pass: int
    usual_prompt_tokens: float
    usual_answer_tokens: float
    layers: int
    models: tuple[str, ...]
    warm_up_s: float
    weight_bytes: int = 0


@dataclass(frozen=True)
class WeightOrigin:
    """Where the pieces of a model's weights come from."""

    address: Address
    availability_zone: str
    bytes_per_s: float
    max_connections: int


@dataclass(frozen=True)
class Service:
    """One service; ``engine`` for model services, ``origin`` for weights."""

    name: str
    max_connections: int
    engine: EngineProfile | None = None
    origin: WeightOrigin | None = None


@dataclass(frozen=True)
class Workspace:
    """Who holds API keys; a lower priority number is more urgent."""

    name: str
    priority: int | None = None


@dataclass(frozen=True)
class Configuration:
    """One version of the whole configuration."""

    version: int
    routes: tuple[Route, ...] = ()
    services: Mapping[str, Service] = field(default_factory=dict)
    workspaces_by_key: Mapping[str, Workspace] = field(default_factory=dict)
    limits: HttpLimits = field(default_factory=HttpLimits)

    @property
    def has_workspaces(self) -> bool:
        """Whether requests must carry a key."""
        return bool(self.workspaces_by_key)
