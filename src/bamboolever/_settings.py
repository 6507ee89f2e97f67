"""Settings of the daemons, read from TOML and checked before anything starts."""

from typing import Annotated, Literal

from pydantic import Field, model_validator

from bamboolever._documents import ByteRate, Document, Duration, Name

Port = Annotated[int, Field(ge=0, le=65535)]
Url = Annotated[str, Field(pattern=r"^http://[^/ ]+$")]
Secret = Annotated[str, Field(min_length=8)]


class PlatformSettings(Document):
    """Where the platform's object API is and how much one process may ask."""

    url: Url
    timeout: Duration = 2.0
    calls_per_second: Annotated[float, Field(gt=0)] = 50.0


class EntrySettings(Document):
    """One entry instance."""

    instance_id: Name
    region: Name
    availability_zone: Name
    host: str = "127.0.0.1"
    caller_port: Port = 8080
    admin_port: Port = 8081
    shared_keys: Annotated[list[Secret], Field(min_length=1)]
    platform: PlatformSettings
    drain_timeout: Duration = 60.0
    balancer_delay: Duration = 1.0
    max_connections: Annotated[int, Field(ge=1)] = 2000
    status_period: Duration = 2.0


class AgentSettings(Document):
    """One agent beside one upstream."""

    instance_id: Name
    region: Name
    availability_zone: Name
    service: Name
    kind: Literal["model", "plain"] = "model"
    host: str = "127.0.0.1"
    port: Port = 8090
    admin_port: Port = 8091
    shared_keys: Annotated[list[Secret], Field(min_length=1)]
    platform: PlatformSettings
    origin_url: Url | None = None
    upstream_url: Url
    capacity: Annotated[int, Field(ge=1, le=4096)] = 32
    transfer_rate: ByteRate = 125_000_000.0
    drain_timeout: Duration = 60.0

    @model_validator(mode="after")
    def check_origin(self) -> "AgentSettings":
        """Require an origin for an agent that moves weights."""
        if self.kind == "model" and self.origin_url is None:
            raise ValueError(
                "an agent of a model service needs origin_url; add it, or set "
                'kind = "plain"'
            )
        return self
