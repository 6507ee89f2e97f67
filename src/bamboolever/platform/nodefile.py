"""Decodes the settings file that the platform writes for each process."""

import json
import os
from pathlib import Path
from typing import Any

from pydantic import Field, ValidationError

from bamboolever.daemons.settings import Bounds, InstanceSettings
from bamboolever.net.addresses import Address, parse_address
from bamboolever.platform import names
from bamboolever.platform.errors import AdapterError
from bamboolever.platform.models import DeferredModel, validate


class _Document(DeferredModel):
    pass


class _Bounds(_Document):
    drain_timeout_ms: float = Field(2000, alias="drainTimeoutMs")
    grace_period_s: float = Field(8, alias="gracePeriodS")
    is_fail_closed: bool = Field(False, alias="failClosed")
    revocation_ms: float = Field(5000, alias="revocationMs")
    retry_ratio: float = Field(0.2, alias="retryBudgetRatio")
    retry_window_s: float = Field(10, alias="budgetWindowS")
    retry_slack: float = Field(0, alias="retryBudgetSlack")
    # In the platform's documentation, this is the only duration whose name has no
    # unit; it is in milliseconds too.
    version_ms: float = 8000
    configuration_apply_ms: float = Field(2000, alias="configurationApplyMs")
    cold_overage: float = Field(1, alias="coldOverage")
    cold_slack: float = Field(0, alias="coldSlack")
    evacuation_ms: float | None = Field(None, alias="evacuationMs")


class _Store(_Document):
    address: str


class _Limits(_Document):
    memory_mb: float = Field(0, alias="memoryMb")
    file_descriptors: int = Field(1024, alias="fileDescriptors")
    link_mbps: float = Field(0, alias="linkMbps")


class NodeFile(_Document):
    """The settings file as the platform writes it."""

    node_name: str = Field(alias="nodeName")
    ip_address: str = Field(alias="ipAddress")
    zone: str
    region: str = ""
    zones: dict[str, str] = {}
    listen: dict[str, str] = Field({}, alias="listenAddresses")
    port_range: tuple[int, int] = Field(alias="internalPortRange")
    is_first_start: bool = Field(True, alias="firstStart")
    limits: _Limits = Field(default_factory=lambda: validate(_Limits, {}))
    bounds: _Bounds = Field(default_factory=lambda: validate(_Bounds, {}))
    store: _Store = Field(alias="platformSettings")
    heartbeat_interval_ms: float = Field(1200, alias="heartbeatIntervalMs")
    # The address and the service of the upstream that this process runs next to.
    app: str | None = None
    service: str | None = None


def settings_path() -> Path:
    """Return the path of the settings file from the environment.

    Raises `AdapterError` when the variable is not set.
    """
    text = os.environ.get(names.SETTINGS_FILE_VARIABLE)
    if not text:
        raise AdapterError(
            f"{names.SETTINGS_FILE_VARIABLE} is not set; set it to the path of the "
            "platform's settings file"
        )
    return Path(text)


def read_settings(path: Path) -> InstanceSettings:
    """Read and decode the settings file at ``path``.

    Raises `AdapterError` when the file is missing or does not decode.
    """
    try:
        return decode_settings(json.loads(path.read_bytes()))
    except (OSError, ValueError) as error:
        raise AdapterError(f"{path}: {error}") from error


def decode_settings(document: Any) -> InstanceSettings:
    """Convert the content of a settings file.

    Raises `AdapterError` when a field is missing or of another type, or an address
    is not ``IP:PORT``.
    """
    try:
        node = validate(NodeFile, document)
        return _to_instance_settings(node)
    except (ValidationError, ValueError) as error:
        raise AdapterError(f"settings do not decode: {error}") from error


def check_settings(document: Any) -> list[tuple[str, str]]:
    """Return the key and the problem of each address that is not ``IP:PORT``.

    ``document`` must be one that `NodeFile` accepts.
    """
    node = validate(NodeFile, document)
    addresses = {f"listenAddresses.{name}": text for name, text in node.listen.items()}
    addresses["platformSettings.address"] = node.store.address
    if node.app:
        addresses["app"] = node.app
    return [
        (key, f"is no IP:PORT; correct it (found {text!r})")
        for key, text in addresses.items()
        if not _is_address(text)
    ]


def _is_address(text: str) -> bool:
    try:
        parse_address(text)
    except ValueError:
        return False
    return True


def _to_instance_settings(node: NodeFile) -> InstanceSettings:
    bounds = node.bounds
    return InstanceSettings(
        name=node.node_name,
        host=node.ip_address,
        availability_zone=node.zone,
        region=node.region or node.zones.get(node.zone, ""),
        regions_by_zone=dict(node.zones),
        caller_address=_listen_address(node, "frontend"),
        readiness_address=_listen_address(node, "ready"),
        internal_port=node.port_range[0],
        store_address=parse_address(node.store.address),
        upstream_address=parse_address(node.app) if node.app else None,
        upstream_service=node.service,
        file_descriptors=node.limits.file_descriptors,
        memory_bytes=node.limits.memory_mb * 2**20,
        link_bytes_per_s=node.limits.link_mbps * 1e6 / 8,
        heartbeat_interval_s=node.heartbeat_interval_ms / 1000,
        bounds=Bounds(
            drain_timeout_s=bounds.drain_timeout_ms / 1000,
            grace_period_s=bounds.grace_period_s,
            key_max_age_s=(
                bounds.revocation_ms / 1000 if bounds.is_fail_closed else None
            ),
            retry_ratio=bounds.retry_ratio,
            retry_window_s=bounds.retry_window_s,
            retry_slack=bounds.retry_slack,
            version_timeout_s=bounds.version_ms / 1000,
            configuration_timeout_s=bounds.configuration_apply_ms / 1000,
            cold_overage=bounds.cold_overage,
            cold_slack=bounds.cold_slack,
            evacuation_timeout_s=(
                None if bounds.evacuation_ms is None else bounds.evacuation_ms / 1000
            ),
        ),
    )


def _listen_address(node: NodeFile, name: str) -> Address | None:
    text = node.listen.get(name)
    return parse_address(text) if text else None
