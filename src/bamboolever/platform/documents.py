"""Decodes the platform's documents into the project's types.

The documents are the configuration, upstreams and model versions from the store,
and the reports of engines. Durations in milliseconds become seconds.
"""

from typing import Any

from pydantic import ConfigDict, Field, ValidationError

from bamboolever.config.model import (
    Configuration,
    EngineProfile,
    Route,
    RouteKind,
    Service,
    ServiceShare,
    WeightOrigin,
    Workspace,
)
from bamboolever.fleet.records import (
    EngineReport,
    LayerRange,
    LoadedModel,
    ModelVersion,
    UpstreamRecord,
)
from bamboolever.net.addresses import parse_address
from bamboolever.net.handlers import HttpLimits
from bamboolever.platform.errors import AdapterError
from bamboolever.platform.models import DeferredModel, validate
from bamboolever.platform.values import (
    Count,
    DurationMs,
    Name,
    Ordinal,
    Slots,
    Slowdown,
)

_ROUTE_KINDS = {
    "idempotent": RouteKind.IDEMPOTENT,
    "non_idempotent": RouteKind.NON_IDEMPOTENT,
    "streaming": RouteKind.STREAMING,
}
_READY_STATE = "ready"
_DRAINING_STATE = "draining"


class _Document(DeferredModel):
    model_config = ConfigDict(strict=True)


class _Share(_Document):
    service: str
    weight: float


class _Route(_Document):
    name: str = ""
    host: str
    path_prefix: str = Field(alias="pathPrefix")
    kind: str
    timeout_ms: float = Field(alias="timeoutMs")
    target_latency_ms: float = Field(0, alias="targetLatencyMs")
    target_gap_ms: float | None = Field(None, alias="targetGapMs")
    priority: int = 0
    service: str | None = None
    split: list[_Share] = Field([], alias="trafficSplit")
    max_attempts: int = Field(1, alias="maxAttempts")
    is_anonymous: bool = Field(False, alias="allowAnonymous")
    can_resume: bool = Field(False, alias="resumeStreams")
    allowed_regions: list[str] | None = Field(None, alias="allowedRegions")


class _TypicalLengths(_Document):
    prompt: float = 1000
    answer: float = 100


class _EngineModel(_Document):
    name: str
    warm_up_s: float = Field(0, alias="warmUpS")


class _Engine(_Document):
    """Engine profile of a service.

    ``read_per_s`` is in tokens per second, ``context_per_k`` in milliseconds per
    1000 tokens of context, ``pairs_per_m`` in milliseconds per million token pairs.
    ``chunk`` and the typical lengths are in tokens.
    """

    slots: int
    stride: int = 1
    step_ms: float = 0
    per_seq_ms: float = 0
    context_per_k: float = 0
    read_per_s: float = 0
    pairs_per_m: float = 0
    chunk: int = 2048
    usual: _TypicalLengths = Field(
        default_factory=lambda: validate(_TypicalLengths, {})
    )
    layers: int = 1
    # The number of pieces and their size, whose product is the size of a version.
    chunks: int = 0
    chunk_bytes: int = Field(0, alias="chunkBytes")
    models: list[_EngineModel] = []


class _Service(_Document):
    name: str
    max_connections: int = Field(0, alias="maxConnections")
    engine: _Engine | None = None
    origin: str | None = None
    zone: str = ""
    link_mbps: float = Field(0, alias="linkMbps")
    cold_start_s: float = Field(0, alias="coldStartS")
    cold_per_s: float = Field(0, alias="coldPerS")


class _Tenant(_Document):
    name: str
    api_keys: list[str] = Field([], alias="apiKeys")
    priority: int | None = None
    allowed_regions: list[str] | None = Field(None, alias="allowedRegions")


class _Limits(_Document):
    max_header_bytes: int = Field(16384, alias="maxHeaderBytes")
    max_body_bytes: int = Field(4 * 2**20, alias="maxBodyBytes")
    header_timeout_ms: float = Field(3000, alias="headerTimeoutMs")
    idle_timeout_ms: float = Field(15000, alias="idleTimeoutMs")


class _Configuration(_Document):
    version: int
    routes: list[_Route] = []
    services: list[_Service] = []
    # None if the deployment has no tenants: its requests carry no keys.
    tenants: list[_Tenant] | None = None
    limits: _Limits = Field(default_factory=lambda: validate(_Limits, {}))


class _LayerRange(_Document):
    start: Count = Field(alias="from")
    stop: Count = Field(alias="to")
    version: Ordinal


class _LoadedModel(_Document):
    name: Name
    version: Ordinal
    layers: _LayerRange | None = None


class _Upstream(_Document):
    service: Name
    address: str
    zone: Name = ""
    slots: Slots = 1
    state: str
    cold_remaining_ms: DurationMs = Field(0, alias="coldRemainingMs")
    born: Ordinal | None = None
    # The number of heartbeats since the upstream started.
    sequence: Ordinal | None = None
    models: list[_LoadedModel] = []
    # The loaded layers of all models that have no range of their own.
    layers: _LayerRange | None = None


class _ModelVersion(_Document):
    model: Name
    version: Ordinal


class _EngineReport(_Document):
    models: list[_LoadedModel] = []
    # The loaded layers of all models that have no range of their own.
    layers: _LayerRange | None = None
    busy: bool = False
    # The number of orders accepted since the engine started.
    sequence: Ordinal = 0
    queued: Count = 0
    running: Count = 0
    pace: Slowdown = 1.0
    born: Ordinal | None = None


def decode_configuration(document: Any) -> Configuration:
    """Decode the configuration document of the store.

    Raises `AdapterError` when fields are missing or of another type, or a route's
    kind is unknown.
    """
    try:
        wire = validate(_Configuration, document)
        return Configuration(
            version=wire.version,
            routes=tuple(_to_route(route) for route in wire.routes),
            services={service.name: _to_service(service) for service in wire.services},
            workspaces_by_key={
                key: Workspace(
                    tenant.name,
                    tenant.priority,
                    frozenset(tenant.allowed_regions or ()),
                )
                for tenant in wire.tenants or ()
                for key in tenant.api_keys
            },
            limits=HttpLimits(
                max_header_bytes=wire.limits.max_header_bytes,
                max_body_bytes=wire.limits.max_body_bytes,
                header_timeout_s=wire.limits.header_timeout_ms / 1000,
                idle_timeout_s=wire.limits.idle_timeout_ms / 1000,
            ),
            requires_keys=wire.tenants is not None,
        )
    except (ValidationError, ValueError, KeyError) as error:
        raise AdapterError(f"configuration does not decode: {error}") from error


def decode_upstream(name: str, document: Any) -> UpstreamRecord:
    """Decode an upstream's document; its ``name`` is the upstream's instance id.

    Raises `AdapterError` when fields are missing or of another type, or the
    state is unknown.
    """
    try:
        wire = validate(_Upstream, document)
        if wire.state not in (_READY_STATE, _DRAINING_STATE):
            raise ValueError(f"unknown state {wire.state!r}")
        return UpstreamRecord(
            instance_id=name,
            service=wire.service,
            address=parse_address(wire.address),
            availability_zone=wire.zone,
            slots=wire.slots,
            is_draining=wire.state == _DRAINING_STATE,
            cold_remaining_s=max(0.0, wire.cold_remaining_ms / 1000),
            started_ms=wire.born,
            models=_to_loaded_models(wire.models, wire.layers),
            heartbeat=wire.sequence,
        )
    except (ValidationError, ValueError) as error:
        raise AdapterError(f"upstream {name!r} does not decode: {error}") from error


def decode_version(document: Any) -> ModelVersion:
    """Decode the document with the version of a model that engines must serve.

    Raises `AdapterError` when fields are missing or of another type.
    """
    try:
        wire = validate(_ModelVersion, document)
    except ValidationError as error:
        raise AdapterError(f"version does not decode: {error}") from error
    return ModelVersion(wire.model, wire.version)


def decode_report(document: Any) -> EngineReport:
    """Decode an engine's report on its models, load and accepted orders.

    Raises `AdapterError` when fields are missing or of another type.
    """
    try:
        wire = validate(_EngineReport, document)
    except ValidationError as error:
        raise AdapterError(f"report does not decode: {error}") from error
    return EngineReport(
        models=_to_loaded_models(wire.models, wire.layers),
        is_busy=wire.busy,
        orders_accepted=wire.sequence,
        queued=wire.queued,
        running=wire.running,
        slowdown=wire.pace,
        started_ms=wire.born,
    )


def _to_route(wire: _Route) -> Route:
    shares = [ServiceShare(share.service, share.weight) for share in wire.split]
    if not shares and wire.service:
        shares = [ServiceShare(wire.service, 1.0)]
    gap_ms = wire.target_gap_ms
    return Route(
        name=wire.name,
        host=wire.host.lower(),
        path_prefix=wire.path_prefix,
        kind=_ROUTE_KINDS[wire.kind],
        targets=tuple(shares),
        timeout_s=wire.timeout_ms / 1000,
        target_latency_s=wire.target_latency_ms / 1000,
        target_gap_s=None if gap_ms is None else gap_ms / 1000,
        max_attempts=max(1, wire.max_attempts),
        priority=wire.priority,
        is_anonymous=wire.is_anonymous,
        can_resume=wire.can_resume,
        allowed_regions=frozenset(wire.allowed_regions or ()),
    )


def _to_service(wire: _Service) -> Service:
    origin = None
    if wire.origin:
        origin = WeightOrigin(
            address=parse_address(wire.origin),
            availability_zone=wire.zone,
            bytes_per_s=wire.link_mbps * 1e6 / 8,
            max_connections=wire.max_connections,
        )
    engine = _to_engine_profile(wire.engine) if wire.engine else None
    return Service(
        wire.name,
        wire.max_connections,
        engine,
        origin,
        cold_start_s=max(0.0, wire.cold_start_s),
        cold_per_s=max(0.0, wire.cold_per_s),
    )


def _to_engine_profile(wire: _Engine) -> EngineProfile:
    return EngineProfile(
        slots=wire.slots,
        step_s=wire.step_ms / 1000,
        step_per_sequence_s=wire.per_seq_ms / 1000,
        step_per_context_token_s=wire.context_per_k / 1e6,
        prefill_tokens_per_s=wire.read_per_s,
        prefill_s_per_token_pair=wire.pairs_per_m / 1e9,
        chunk_tokens=wire.chunk,
        steps_per_pass=wire.stride,
        typical_prompt_tokens=wire.usual.prompt,
        typical_response_tokens=wire.usual.answer,
        layers=wire.layers,
        models=tuple(model.name for model in wire.models),
        weight_bytes=wire.chunks * wire.chunk_bytes,
        piece_count=wire.chunks,
        warm_up_s=max((model.warm_up_s for model in wire.models), default=0.0),
    )


def _to_loaded_models(
    loaded: list[_LoadedModel], layers: _LayerRange | None
) -> tuple[LoadedModel, ...]:
    return tuple(
        LoadedModel(model.name, model.version, _to_layer_range(model.layers or layers))
        for model in loaded
    )


def _to_layer_range(wire: _LayerRange | None) -> LayerRange | None:
    if wire is None:
        return None
    return LayerRange(wire.start, wire.stop, wire.version)
