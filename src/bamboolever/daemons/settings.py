"""Settings of one process on the platform, in the product's own terms."""

from collections.abc import Mapping
from dataclasses import dataclass, field

from bamboolever.net.addresses import Address


@dataclass(frozen=True)
class Bounds:
    """Limits of the deployment's contract; times in seconds.

    ``key_max_age_s`` is None where keys may be trusted without a store.
    """

    drain_timeout_s: float = 2.0
    grace_period_s: float = 8.0
    key_max_age_s: float | None = 5.0
    retry_ratio: float = 0.2
    retry_window_s: float = 10.0
    retry_slack: float = 0.0
    version_timeout_s: float = 8.0


@dataclass(frozen=True)
class InstanceSettings:
    """Where this process runs, what it listens on, and its policies by name."""

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
    link_bytes_per_s: float = 0.0
    bounds: Bounds = field(default_factory=Bounds)
    placement: str = "predicted"
    piece_policy: str = "region-chain"
    metrics_port: int | None = None

    @property
    def metrics_address(self) -> Address:
        """Where metrics are served; by default beside the internal port."""
        port = self.metrics_port
        return Address(self.host, self.internal_port + 1 if port is None else port)

    def region_of(self, availability_zone: str) -> str:
        """Return the region of an availability zone; unknown ones are their own."""
        return self.regions_by_zone.get(availability_zone, availability_zone)
