"""Schemas of the daemons' settings files, validated before a daemon starts."""

from typing import Annotated, Literal

from pydantic import Field, model_validator

from bamboolever._documents import ByteRate, Document, Duration, Name

Port = Annotated[int, Field(ge=0, le=65535)]
Url = Annotated[str, Field(pattern=r"^http://[^/ ]+$")]
Secret = Annotated[str, Field(min_length=8)]


class PlatformSettings(Document):
    """The platform's object API and the limits for one process that uses it.

    ``timeout`` limits one call, in seconds.
    """

    url: Url
    timeout: Duration = 2.0
    calls_per_second: Annotated[float, Field(gt=0)] = 50.0


class EntrySettings(Document):
    """Settings of an entry; durations are held in seconds.

    ``shared_keys`` authenticate the connections to agents and requests to the admin
    port. A stopping entry still accepts callers for ``balancer_delay``, until the load
    balancer has noticed, and then waits up to ``drain_timeout`` for the calls in
    flight. ``status_period`` is the shortest time between two writes of its status
    object.
    """

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
    """Settings of an agent, which runs next to one upstream.

    ``port`` accepts the connections of entries and other agents. ``shared_keys``
    authenticate these connections and requests to the admin port. ``capacity`` limits
    the calls in flight at the upstream, and ``transfer_rate`` the chunks sent to peers,
    in bytes per second. A stopping agent waits up to ``drain_timeout`` seconds for the
    calls in flight.
    """

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
        """Require an origin for an agent that distributes weights."""
        if self.kind == "model" and self.origin_url is None:
            raise ValueError(
                "an agent of a model service needs origin_url; add it, or set "
                'kind = "plain"'
            )
        return self
