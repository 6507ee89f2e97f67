"""A site of stand-ins on loopback addresses, with its configuration and documents."""

import random
import socket
from typing import Any

from bamboolever.net.addresses import Address
from bamboolever.platform.names import (
    CONFIGURATION_KIND,
    CONFIGURATION_NAME,
    UPSTREAM_KIND,
    VERSION_KIND,
)
from bamboolever.platform.standins.store import StandInStore
from bamboolever.platform.standins.upstream import (
    LAYER_COUNT,
    MODEL,
    EngineState,
    StandInOrigin,
    StandInUpstream,
)

ENGINE_SERVICE = "model-service"
PLAIN_SERVICE = "order-service"
ORIGIN_SERVICE = "weight-origin"
API_KEY = "key-of-studio-a"
WORKSPACE = "studio-a"
HOST = "calls.example"
PIECE_COUNT = 8
PIECE_BYTES = 2048
REGIONS_BY_ZONE = {"zone-a": "region-1", "zone-b": "region-2"}


# Ports below the range from which the kernel assigns ports to binds of port 0.
_PORTS = iter(random.SystemRandom().sample(range(20000, 32000, 2), 5000))


def find_free_port() -> int:
    """Return a port that is free now, as is the port after it.

    No port is returned twice.
    """
    return next(
        port for port in _PORTS if _is_port_free(port) and _is_port_free(port + 1)
    )


def _is_port_free(port: int) -> bool:
    with socket.socket() as sock:
        try:
            sock.bind(("", port))
        except OSError:
            return False
    return True


class Site:
    """A store, an origin and upstreams; `close` stops them all."""

    def __init__(self) -> None:
        self.store = StandInStore(Address("127.0.0.1", 0))
        self.origin = StandInOrigin(Address("127.0.0.1", 0), PIECE_COUNT, PIECE_BYTES)
        self.upstreams: dict[str, StandInUpstream] = {}
        self.internal_port = find_free_port()
        self.configuration = self._make_configuration()
        self.store.start()
        self.origin.start()
        self.apply_configuration()

    def close(self) -> None:
        """Stop every stand-in."""
        for upstream in self.upstreams.values():
            upstream.stop()
        self.origin.stop()
        self.store.stop()

    def add_engine(
        self,
        instance_id: str,
        host: str,
        *,
        version: int | None = 1,
        zone: str = "zone-a",
    ) -> StandInUpstream:
        """Start an engine and store its document.

        With a version, its weights are loaded and its pieces are staged; with None,
        the engine is empty.
        """
        state = EngineState(version=version)
        if version is not None:
            state.staged = self.origin.pieces_by_number(version)
        upstream = StandInUpstream(Address(host, 0), instance_id, engine=state)
        self._start_upstream(upstream, ENGINE_SERVICE, zone)
        return upstream

    def add_plain_upstream(
        self, instance_id: str, zone: str = "zone-a"
    ) -> StandInUpstream:
        """Start an upstream of the plain service and store its document."""
        upstream = StandInUpstream(Address("127.0.0.1", 0), instance_id)
        self._start_upstream(upstream, PLAIN_SERVICE, zone)
        return upstream

    def put_upstream(
        self,
        upstream: StandInUpstream,
        service: str,
        *,
        zone: str = "zone-a",
        **changes: Any,
    ) -> None:
        """Store the document of an upstream in its current state.

        ``changes`` replace fields of the document.
        """
        document: dict[str, Any] = {
            "service": service,
            "address": str(upstream.address),
            "zone": zone,
            "version": "v1",
            "slots": 4,
            "state": "ready",
            "coldRemainingMs": 0,
            "sequence": 1,
        }
        engine = upstream.engine
        if engine is not None:
            document["models"] = []
            if engine.version is not None:
                document["models"] = [{"name": MODEL, "version": engine.version}]
            document["layers"] = {
                "from": 0,
                "to": LAYER_COUNT,
                "version": engine.version or 0,
            }
            document["born"] = engine.started_ms
        document.update(changes)
        self.store.put(UPSTREAM_KIND, upstream.instance_id, document)

    def set_model_version(self, version: int) -> None:
        """Make a version the origin's newest and the one that engines must load."""
        self.origin.newest_version = version
        document = {"model": MODEL, "version": version}
        self.store.put(VERSION_KIND, MODEL, document)

    def apply_configuration(self, **changes: Any) -> None:
        """Store the configuration with the next version number.

        ``changes`` replace top-level fields, in later configurations too.
        """
        self.configuration.update(changes)
        self.configuration["version"] += 1
        document = dict(self.configuration)
        self.store.put(CONFIGURATION_KIND, CONFIGURATION_NAME, document)

    def make_settings(
        self, *, name: str, host: str, upstream: StandInUpstream | None = None
    ) -> dict[str, Any]:
        """Return the content of a settings file.

        It is for the agent next to ``upstream``, or for an entry if that is None.
        """
        document: dict[str, Any] = {
            "nodeName": name,
            "ipAddress": host,
            "zone": "zone-a",
            "region": "region-1",
            "zones": REGIONS_BY_ZONE,
            "listenAddresses": {
                "frontend": f"{host}:{find_free_port()}",
                "ready": f"{host}:{find_free_port()}",
            },
            "internalPortRange": [self.internal_port, self.internal_port + 1],
            "firstStart": True,
            "limits": {"memoryMb": 300, "fileDescriptors": 1124, "linkMbps": 1000.0},
            "bounds": {
                "drainTimeoutMs": 2000,
                "gracePeriodS": 8,
                "failClosed": True,
                "revocationMs": 5000,
                "retryBudgetRatio": 0.2,
                "budgetWindowS": 10,
                "retryBudgetSlack": 100,
                "version_ms": 8000,
            },
            "platformSettings": {"address": str(self.store.address)},
        }
        if upstream is not None:
            document["app"] = str(upstream.address)
            document["service"] = ENGINE_SERVICE
        return document

    def _start_upstream(
        self, upstream: StandInUpstream, service: str, zone: str
    ) -> None:
        upstream.start()
        self.upstreams[upstream.instance_id] = upstream
        self.put_upstream(upstream, service, zone=zone)

    def _make_configuration(self) -> dict[str, Any]:
        return {
            "version": 0,
            "routes": [
                _route("/stream/", "streaming", ENGINE_SERVICE),
                _route("/orders/", "non_idempotent", PLAIN_SERVICE),
                _route("/lookup/", "idempotent", PLAIN_SERVICE),
            ],
            "services": [
                {"name": PLAIN_SERVICE, "maxConnections": 50},
                {
                    "name": ORIGIN_SERVICE,
                    "origin": str(self.origin.address),
                    "zone": "zone-a",
                    "linkMbps": 100.0,
                    "maxConnections": 48,
                },
                {
                    "name": ENGINE_SERVICE,
                    "maxConnections": 50,
                    "engine": {
                        "slots": 4,
                        "stride": 6,
                        "step_ms": 1.0,
                        "read_per_s": 100000.0,
                        "chunk": 2048,
                        "layers": LAYER_COUNT,
                        "chunks": PIECE_COUNT,
                        "chunkBytes": PIECE_BYTES,
                        "models": [{"name": MODEL, "warmUpS": 0.1}],
                    },
                },
            ],
            "limits": {
                "maxHeaderBytes": 16384,
                "maxBodyBytes": 100000,
                "headerTimeoutMs": 3000,
                "idleTimeoutMs": 15000,
            },
            "tenants": [{"name": WORKSPACE, "apiKeys": [API_KEY], "priority": 1}],
        }


def _route(prefix: str, kind: str, service: str) -> dict[str, Any]:
    is_stream = kind == "streaming"
    route: dict[str, Any] = {
        "name": prefix.strip("/"),
        "host": HOST,
        "pathPrefix": prefix,
        "kind": kind,
        "timeoutMs": 5000,
        "targetLatencyMs": 2000,
        "priority": 1,
        "service": service,
        "maxAttempts": 1 if kind == "non_idempotent" else 2,
        "allowAnonymous": False,
    }
    if is_stream:
        route |= {"stickySessions": True, "resumeStreams": True, "targetGapMs": 300}
    return route
