"""Settings of one daemon process, independent of the platform's file format."""

from collections.abc import Mapping
from dataclasses import dataclass, field

from bamboolever.net.addresses import Address


@dataclass(frozen=True)
class Bounds:
    """Limits that the deployment's contract sets.

    ``grace_period_s`` lasts from a stop request until the platform ends the process,
    and ``version_timeout_s`` from a rollout's start until no request may start on an
    older version. A changed configuration must be in force everywhere within
    ``configuration_timeout_s``. ``key_max_age_s`` is how long API keys stay valid
    without a confirmation from the store; None sets no limit.

    The retries of a service, across all entries, may be ``retry_ratio`` of its first
    attempts plus ``retry_slack``. ``retry_window_s`` and ``drain_timeout_s`` are
    part of the contract, but the daemons do not read them.

    A cold upstream may get, in any second, its rate times ``cold_overage`` plus
    ``cold_slack`` requests from all entries together. From ``evacuation_timeout_s``
    after the store acknowledged the evacuation of a zone, none may reach an upstream of
    it; None means that the deployment has no evacuations.
    """

    drain_timeout_s: float = 2.0
    grace_period_s: float = 8.0
    key_max_age_s: float | None = 5.0
    retry_ratio: float = 0.2
    retry_window_s: float = 10.0
    retry_slack: float = 0.0
    version_timeout_s: float = 8.0
    configuration_timeout_s: float = 2.0
    cold_overage: float = 1.0
    cold_slack: float = 0.0
    evacuation_timeout_s: float | None = None


@dataclass(frozen=True)
class InstanceSettings:
    """Location, addresses, limits and policies of one process.

    An entry listens on ``caller_address`` and ``readiness_address``; an agent runs
    beside the upstream at ``upstream_address``. ``placement`` and ``piece_policy``
    are names of policies. ``hedge_share`` is the number of hedged requests that an
    entry sends at most for each request of a service; 0 turns them off. Upstreams write
    their records in the store every ``heartbeat_interval_s``.
    """

    name: str
    host: str
    availability_zone: str
    region: str
    internal_port: int
    store_address: Address
    regions_by_zone: Mapping[str, str] = field(default_factory=dict)
    caller_address: Address | None = None
    readiness_address: Address | None = None
    upstream_address: Address | None = None
    upstream_service: str | None = None
    file_descriptors: int = 1024
    memory_bytes: float = 0.0
    link_bytes_per_s: float = 0.0
    bounds: Bounds = field(default_factory=Bounds)
    placement: str = "predicted"
    piece_policy: str = "region-chain"
    hedge_share: float = 0.0
    heartbeat_interval_s: float = 1.2
    metrics_port: int | None = None

    @property
    def metrics_address(self) -> Address:
        """Address of the metrics; by default the port after the internal one."""
        port = self.metrics_port
        return Address(self.host, self.internal_port + 1 if port is None else port)

    def region_of(self, availability_zone: str) -> str:
        """Return the region of an availability zone, or the zone if it has none."""
        return self.regions_by_zone.get(availability_zone, availability_zone)
