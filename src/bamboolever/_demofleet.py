"""A fleet in one process for the demo and the benches: stand-ins and real daemons.

Connections between daemons are TCP connections on 127.0.0.1. They run through the
stand-in network, which limits the rate of each link between regions and counts its
bytes.
"""

import dataclasses
import hashlib
from dataclasses import dataclass, field
from pathlib import Path
from typing import final

from bamboolever._agent import Agent
from bamboolever._documents import (
    CONTRACT_KIND,
    SERVICE_KIND,
    Contract,
    Distribution,
    Document,
    DocumentKey,
    Route,
    ServiceDocument,
)
from bamboolever._entry import Entry
from bamboolever._kernel import Kernel
from bamboolever._origin import HttpOrigin
from bamboolever._platform import HttpPlatform, InstanceRecord
from bamboolever._settings import AgentSettings, EntrySettings, PlatformSettings
from bamboolever._standins.engine import EngineTiming, StandInEngine
from bamboolever._standins.network import StandInNetwork
from bamboolever._standins.origin import StandInOrigin
from bamboolever._standins.platform import StandInPlatform

SHARED_KEY = "demo-shared-key"
MODEL = "engraver"
ORDERS = "orders"
ADMIN = "studio-admin"
REGIONS = ("cape", "gauteng", "kzn", "karoo", "limpopo")
CHUNK_BYTES = 256 * 1024
REGION_PAIR_BYTES_PER_S = 1_250_000.0
ORIGIN_BYTES_PER_S = 20_000_000.0
ENTRY_COUNT = 2
ORDER_WORKERS = 3
WORKSPACES = ("bottle-kiosk", "studio-a", "studio-b", "mall-flood")


@dataclass
class FleetMember:
    """An upstream with its agent."""

    service: str
    region: str
    engine: StandInEngine
    agent: Agent


@dataclass(frozen=True)
class FleetOptions:
    """Size, distribution policy, links and timing of an embedded fleet.

    ``instances`` is the number of model engines, ``order_workers`` that of upstreams of
    the plain service `ORDERS`. ``policy`` and ``aim`` are those of `Distribution`. Each
    pair of regions has its own link of ``region_pair_bytes_per_s`` in each direction.
    """

    instances: int
    regions: int
    policy: str
    aim: str
    origin_bytes_per_s: float = ORIGIN_BYTES_PER_S
    region_pair_bytes_per_s: float = REGION_PAIR_BYTES_PER_S
    chunk_bytes: int = CHUNK_BYTES
    order_workers: int = ORDER_WORKERS
    timing: EngineTiming = field(default_factory=EngineTiming)


@final
class EmbeddedFleet:
    """Platform, origin, network, upstreams, agents and entries in this process."""

    def __init__(self, options: FleetOptions):
        self._options = options
        self._regions = REGIONS[: options.regions]
        self._kernel = Kernel()
        self.platform = StandInPlatform()
        self.origin = StandInOrigin(
            rate_bytes_per_s=options.origin_bytes_per_s, chunk_bytes=options.chunk_bytes
        )
        self.network = StandInNetwork(
            region_pair_bytes_per_s=options.region_pair_bytes_per_s
        )
        self.members: list[FleetMember] = []
        self.entries: list[Entry] = []
        self._agent_count = 0

    @property
    def regions(self) -> tuple[str, ...]:
        """The regions that instances are spread over, in turn."""
        return self._regions

    def list_model_members(self) -> list[FleetMember]:
        """Return the members that serve the model."""
        return [member for member in self.members if member.service == MODEL]

    def start(self) -> None:
        """Start the stand-ins, then agents, then entries."""
        self.platform.start()
        self.origin.start()
        self.network.start()
        for index in range(self._options.instances):
            self._add_member(MODEL, "model", index)
        for index in range(self._options.order_workers):
            self._add_member(ORDERS, "plain", index)
        self._add_member(ADMIN, "plain", 0)
        for index in range(ENTRY_COUNT):
            self._add_entry(index)

    def stop(self) -> None:
        """Stop entries, which serve callers, then agents, upstreams and stand-ins."""
        for entry in self.entries:
            entry.stop()
        for member in self.members:
            member.agent.stop()
        for member in self.members:
            member.engine.stop()
        self.network.stop()
        self.origin.stop()
        self.platform.stop()

    def make_platform_client(self) -> HttpPlatform:
        """Return a client of the object API, for an operator's commands."""
        return HttpPlatform(self.platform.url, timeout_s=5.0, calls_per_second=200.0)

    def make_origin_client(self) -> HttpOrigin:
        """Return a client of the origin, for an operator's commands."""
        return HttpOrigin(self.origin.url)

    def replace_agent(self, member: FleetMember) -> None:
        """Start a new agent for the member's engine, with a new instance id."""
        kind = "model" if member.service == MODEL else "plain"
        member.agent = self._start_agent(
            member.service, kind, member.region, member.engine
        )

    def remove_instance(self, instance_id: str) -> None:
        """Remove an instance from the platform's instance list."""
        self.platform.remove_instance(instance_id)

    def _add_member(self, service: str, kind: str, index: int) -> None:
        region = self._regions[index % len(self._regions)]
        engine = StandInEngine(kind, timing=self._options.timing)
        engine.start()
        agent = self._start_agent(service, kind, region, engine)
        self.members.append(FleetMember(service, region, engine, agent))

    def _start_agent(
        self, service: str, kind: str, region: str, engine: StandInEngine
    ) -> Agent:
        self._agent_count += 1
        settings = AgentSettings.model_validate(
            {
                "instance_id": f"{service}-{self._agent_count}",
                "region": region,
                "availability_zone": f"{region}-1",
                "service": service,
                "kind": kind,
                "port": 0,
                "shared_keys": [SHARED_KEY],
                "platform": self._platform_settings(),
                "origin_url": self.origin.url if kind == "model" else None,
                "upstream_url": engine.url,
                "drain_timeout": "20 s",
            }
        )
        agent = Agent.from_config(settings)
        agent.start(self._kernel)
        self._add_instance(agent.record)
        return agent

    def _add_entry(self, index: int) -> None:
        region = self._regions[index % len(self._regions)]
        settings = EntrySettings.model_validate(
            {
                "instance_id": f"entry-{index + 1}",
                "region": region,
                "availability_zone": f"{region}-1",
                "caller_port": 0,
                "shared_keys": [SHARED_KEY],
                "platform": self._platform_settings(),
                "drain_timeout": "20 s",
                "balancer_delay": "100 ms",
                "status_period": "1 s",
            }
        )
        entry = Entry.from_config(settings)
        entry.start(self._kernel)
        self.entries.append(entry)
        self._add_instance(entry.record)

    def _platform_settings(self) -> PlatformSettings:
        return PlatformSettings.model_validate({"url": self.platform.url})

    def _add_instance(self, record: InstanceRecord) -> None:
        target = (record.host, record.port)
        addresses = {
            region: self.network.open_relay(region, record.region, target)
            for region in self._regions
        }
        self.platform.put_instance(dataclasses.asdict(record), addresses)


def make_api_key(workspace: str) -> str:
    """Return the demo's API key of a workspace."""
    return f"key-of-{workspace}"


def make_documents(options: FleetOptions) -> dict[DocumentKey, Document]:
    """Return a contract for each workspace and the three services, by key."""
    documents: dict[DocumentKey, Document] = {}
    for workspace in WORKSPACES:
        digest = hashlib.sha256(make_api_key(workspace).encode()).hexdigest()
        contract = {
            "workspace": workspace,
            "api_key_sha256": [digest],
            "services": [MODEL, ORDERS, ADMIN],
            "requests_per_second": 200,
            "burst": 100,
            "concurrency": 64,
            "deadline": "20 s",
        }
        key = DocumentKey(CONTRACT_KIND, workspace)
        documents[key] = Contract.model_validate(contract)
    documents[DocumentKey(SERVICE_KIND, MODEL)] = ServiceDocument(
        name=MODEL,
        kind="model",
        routes=[Route(method="POST", path="/v1/completions", idempotent=True)],
        distribution=Distribution.model_validate(
            {"policy": options.policy, "aim": options.aim}
        ),
    )
    documents[DocumentKey(SERVICE_KIND, ORDERS)] = ServiceDocument(
        name=ORDERS,
        kind="plain",
        routing="least-outstanding",
        routes=[
            Route(method="GET", path="/lookup/*", idempotent=True),
            Route(method="POST", path="/jobs", idempotent=False),
        ],
    )
    documents[DocumentKey(SERVICE_KIND, ADMIN)] = ServiceDocument(
        name=ADMIN,
        kind="plain",
        routing="round-robin",
        routes=[Route(method="GET", path="/studios", idempotent=True)],
    )
    return documents


def write_documents(directory: Path, documents: dict[DocumentKey, Document]) -> Path:
    """Write documents to a TOML file in ``directory`` and return its path.

    The file has the form that an operator writes by hand.
    """
    path = directory / "demo.toml"
    lines: list[str] = []
    for key, document in documents.items():
        table = "contract" if key.kind == CONTRACT_KIND else "service"
        lines += _render_table(table, document)
    path.write_text("\n".join(lines) + "\n", encoding="utf-8")
    return path


def _render_table(table: str, document: Document) -> list[str]:
    content = document.model_dump(mode="json", exclude={"changed_by"})
    lines = [f"[[{table}]]"]
    nested: list[str] = []
    for name, value in content.items():
        if name == "routes":
            for route in value:
                nested += [f"[[{table}.routes]]", *map(_render_field, route.items())]
        elif isinstance(value, dict):
            nested += [f"[{table}.{name}]", *map(_render_field, value.items())]
        else:
            lines.append(_render_field((name, value)))
    return [*lines, *nested, ""]


def _render_field(row: tuple[str, object]) -> str:
    name, value = row
    if name in ("deadline", "first_byte_timeout", "piece_timeout"):
        return f'{name} = "{value} s"'
    if name == "max_body":
        return f'{name} = "{value} B"'
    if isinstance(value, bool):
        return f"{name} = {str(value).lower()}"
    if isinstance(value, list):
        items = ", ".join(f'"{item}"' for item in value)
        return f"{name} = [{items}]"
    if isinstance(value, str):
        return f'{name} = "{value}"'
    return f"{name} = {value}"
