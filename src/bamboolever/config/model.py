"""Types of a configuration, independent of the format in the store."""

from collections.abc import Mapping
from dataclasses import dataclass, field
from enum import Enum

from bamboolever.net.addresses import Address
from bamboolever.net.handlers import HttpLimits


class RouteKind(Enum):
    """How a route's requests may be retried and how responses are relayed.

    IDEMPOTENT: may run more than once. NON_IDEMPOTENT: may run at most once.
    STREAMING: the response is relayed as a stream of events.
    """

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
    """The handling of requests to one host below one path prefix.

    ``targets`` is the traffic split. ``timeout_s`` counts from the request's arrival
    to its end, ``target_latency_s`` to the first byte. ``target_gap_s`` is the
    target for the gap between two events of a stream. ``max_attempts`` includes the
    first one. A lower ``priority`` is more urgent. Requests to an anonymous route need
    no key. ``can_resume`` means that another upstream can continue a broken stream.
    Requests reach only upstreams in ``allowed_regions``; all, if that is empty.
    """

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
    allowed_regions: frozenset[str] = frozenset()

    @property
    def is_retry_safe(self) -> bool:
        """Whether a request may be retried after it may have run."""
        if self.kind is RouteKind.IDEMPOTENT:
            return True
        return self.kind is RouteKind.STREAMING and self.can_resume


@dataclass(frozen=True)
class EngineProfile:
    """The capacity and speed of a service's model engines, as it declares them.

    ``slots`` is the number of requests that one engine batches. A decode step takes
    ``step_s``, plus ``step_per_sequence_s`` for each request in the batch, plus
    ``step_per_context_token_s`` for each token of their contexts. Prompts are prefilled
    at ``prefill_tokens_per_s``, in chunks of ``chunk_tokens``;
    ``prefill_s_per_token_pair`` is what each pair of tokens in a prompt adds. An engine
    runs ``steps_per_pass`` decode steps between two chunks. A typical prompt has
    ``typical_prompt_tokens``, and its response ``typical_response_tokens``. ``layers``
    is the number of layers of a complete model. ``warm_up_s`` is the longest warm-up
    time of its models. ``weight_bytes`` is the size of one version, and
    ``piece_count`` the number of its pieces; both are 0 if not declared.
    """

    slots: int
    step_s: float
    step_per_sequence_s: float
    step_per_context_token_s: float
    prefill_tokens_per_s: float
    prefill_s_per_token_pair: float
    chunk_tokens: int
    steps_per_pass: int
    typical_prompt_tokens: float
    typical_response_tokens: float
    layers: int
    models: tuple[str, ...]
    warm_up_s: float
    weight_bytes: int = 0
    piece_count: int = 0

    def has_pieces(self, count: int) -> bool:
        """Return whether a version may have this number of pieces."""
        return self.piece_count in (0, count)


@dataclass(frozen=True)
class WeightOrigin:
    """The origin that serves the pieces of model weights.

    ``bytes_per_s`` is the speed of its link.
    """

    address: Address
    availability_zone: str
    bytes_per_s: float
    max_connections: int


@dataclass(frozen=True)
class Service:
    """One service.

    ``engine`` is set for model services, ``origin`` for origins of weights.
    ``max_connections`` is the limit that the service declares. Its upstreams are cold
    for ``cold_start_s`` seconds after a start and then take ``cold_per_s`` requests per
    second from all entries together; 0 means that this is not bounded.
    """

    name: str
    max_connections: int
    engine: EngineProfile | None = None
    origin: WeightOrigin | None = None
    cold_start_s: float = 0.0
    cold_per_s: float = 0.0


@dataclass(frozen=True)
class Workspace:
    """A holder of API keys.

    ``priority`` replaces that of the route unless it is None; lower is more urgent.
    Requests reach only upstreams in ``allowed_regions``; all, if that is empty.
    """

    name: str
    priority: int | None = None
    allowed_regions: frozenset[str] = frozenset()


@dataclass(frozen=True)
class Configuration:
    """One version of the complete configuration.

    ``services`` maps names to services, ``workspaces_by_key`` maps API keys to
    workspaces. ``limits`` are those of the caller port. Unless ``requires_keys`` is
    False, requests must carry a key, except to anonymous routes; a configuration
    without any key then admits none.
    """

    version: int
    routes: tuple[Route, ...] = ()
    services: Mapping[str, Service] = field(default_factory=dict)
    workspaces_by_key: Mapping[str, Workspace] = field(default_factory=dict)
    limits: HttpLimits = field(default_factory=HttpLimits)
    requires_keys: bool = True

    @property
    def named_regions(self) -> frozenset[str]:
        """The regions that any restriction names; empty without restrictions."""
        routes = (route.allowed_regions for route in self.routes)
        workspaces = (each.allowed_regions for each in self.workspaces_by_key.values())
        return frozenset().union(*routes, *workspaces)
