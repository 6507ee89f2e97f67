"""Carries out the search for one manifest, and holds the requests of other agents.

Load pattern: agents that ask this one while it still waits for the manifest itself.
Their requests are held and get it at the same moment, so that nobody asks twice.
"""

import json
import logging
from abc import ABC, abstractmethod
from collections.abc import Callable
from dataclasses import dataclass
from typing import final
from urllib.parse import quote, unquote

from bamboolever._task import Timer
from bamboolever.daemons.loadercontext import LoaderContext
from bamboolever.net.addresses import Address
from bamboolever.net.exchange import ExchangeFailure
from bamboolever.net.fetch import Fetch, FetchResult
from bamboolever.net.messages import Request
from bamboolever.net.numbers import parse_whole_number
from bamboolever.net.serverconnection import ServerConnection
from bamboolever.platform import weights as wire
from bamboolever.platform.errors import AdapterError
from bamboolever.platform.weights import PieceDigests
from bamboolever.weights.manifests import ManifestSearch, rank_manifest_sources

logger = logging.getLogger(__name__)

PATH_PREFIX = "/manifests/"
NEWEST = "newest"
# How often the search looks for sources that are due.
SEARCH_INTERVAL_S = 0.1
# Bounds the sockets of calls that no one answers, far above the time of any response.
CALL_TIMEOUT_S = 30.0


def make_manifest_request(address: Address, model: str, version: int | None) -> Request:
    """Return the request for a manifest from another agent; None is its newest."""
    name = NEWEST if version is None else str(version)
    target = f"{PATH_PREFIX}{quote(model, safe='')}/{name}"
    return Request(b"GET", target.encode(), ((b"Host", str(address).encode()),))


def parse_manifest_target(target: str) -> tuple[str, int | None] | None:
    """Return the model and version of a request's target, or None for another path."""
    parts = target.removeprefix(PATH_PREFIX).split("/")
    if not target.startswith(PATH_PREFIX) or len(parts) != 2:
        return None
    if parts[1] == NEWEST:
        return unquote(parts[0]), None
    version = parse_whole_number(parts[1].encode())
    return None if version is None else (unquote(parts[0]), version)


def encode_manifest(manifest: PieceDigests) -> bytes:
    """Return a manifest as the body of a response to another agent."""
    content = {
        "model": manifest.model,
        "version": manifest.version,
        "digests": [digest.hex() for digest in manifest.digests],
    }
    return json.dumps(content).encode()


@dataclass(frozen=True)
class _HeldRequest:
    connection: ServerConnection
    model: str
    version: int | None


@final
class HeldRequests:
    """Requests for manifests that this agent does not have yet."""

    def __init__(self) -> None:
        self._held: list[_HeldRequest] = []

    def hold(
        self, connection: ServerConnection, model: str, version: int | None
    ) -> None:
        """Keep a request until `release`."""
        self._held.append(_HeldRequest(connection, model, version))

    def drop(self, connection: ServerConnection) -> None:
        """Forget the request of a caller that is gone."""
        self._held = [each for each in self._held if each.connection is not connection]

    def release(self, manifest: PieceDigests | None) -> None:
        """Respond to all requests: with the manifest they asked for, or with 404."""
        held, self._held = self._held, []
        for each in held:
            respond_with_manifest(each.connection, each.model, each.version, manifest)


def respond_with_manifest(
    connection: ServerConnection,
    model: str,
    version: int | None,
    manifest: PieceDigests | None,
) -> None:
    """Send a manifest if it is what the request named, else 404."""
    is_found = (
        manifest is not None
        and manifest.model == model
        and version in (None, manifest.version)
    )
    if manifest is None or not is_found:
        connection.respond(404, [])
        return
    connection.respond(200, [], encode_manifest(manifest))


class ManifestQuery(ABC):
    """Interface of a search for the manifest of a model's version."""

    def __init__(self, model: str):
        self.model = model

    @property
    @abstractmethod
    def version(self) -> int | None:
        """The version that is asked for; None is the newest."""

    def may_find(self, model: str, version: int | None) -> bool:
        """Return whether the search may return this version; None stands for any."""
        return self.model == model and (
            version is None or self.version in (None, version)
        )

    @abstractmethod
    def start(self) -> None:
        """Send the first calls."""

    @abstractmethod
    def stop(self) -> None:
        """Cancel all calls."""

    @abstractmethod
    def on_announced(self, address: Address) -> None:
        """Ask an agent that announced pieces of the version."""

    @abstractmethod
    def on_named(self) -> None:
        """Called when a version was named that this search may return."""


@final
class ManifestFetch(ManifestQuery):
    """Calls the sources of one manifest until the first valid response.

    ``on_manifest`` is called with each manifest of the model and the version, if one
    is asked for, and with its source; None is the origin. It returns False to refuse
    it. ``on_failed`` is called after each call that brought none. With
    ``is_origin_only`` no agent is asked.
    """

    def __init__(
        self,
        context: LoaderContext,
        model: str,
        version: int | None,
        on_manifest: Callable[[PieceDigests, Address | None], bool],
        *,
        is_origin_only: bool = False,
        on_failed: Callable[[], None] = lambda: None,
    ):
        self._context = context
        super().__init__(model)
        self._task = context.task
        self._version = version
        self._on_manifest = on_manifest
        self._on_failed = on_failed
        self._fetches: list[Fetch] = []
        self._is_stopped = False
        self._timer: Timer | None = None
        self._search = ManifestSearch(
            [None] if is_origin_only else self._rank_sources(), self._task.now()
        )

    @property
    def version(self) -> int | None:
        """The version that is asked for; None is the newest."""
        return self._version

    def start(self) -> None:
        """Send the first calls."""
        self._tick()

    def stop(self) -> None:
        """Cancel all calls."""
        self._is_stopped = True
        if self._timer is not None:
            self._timer.cancel()
        for fetch in self._fetches:
            fetch.cancel()
        self._fetches.clear()

    def on_named(self) -> None:
        """Do nothing: only a manifest of the version asked for is passed on."""

    def on_announced(self, address: Address) -> None:
        """Ask an agent that announced pieces of the version."""
        if not self._is_stopped and self._search.on_announced(address):
            self._call_due()

    def _rank_sources(self) -> list[Address | None]:
        context, origin = self._context, self._context.origin()
        zone = origin.availability_zone if origin is not None else ""
        return rank_manifest_sources(
            context.own_peer(), context.peers(), self.model, context.region_of(zone)
        )

    def _tick(self) -> None:
        if self._is_stopped:
            return
        self._call_due()
        self._timer = self._task.call_later(SEARCH_INTERVAL_S, self._tick)

    def _call_due(self) -> None:
        for source in self._search.due(self._task.now()):
            self._call(source)

    def _call(self, source: Address | None) -> None:
        origin = self._context.origin()
        address = source or (origin.address if origin is not None else None)
        if address is None:
            self._search.on_failed(source, self._task.now())
            return
        if source is None:
            request = wire.manifest_request(address, self.model, self.version)
        else:
            request = make_manifest_request(address, self.model, self.version)

        def on_result(result: FetchResult) -> None:
            self._fetches.remove(fetch)
            self._on_result(source, result)

        fetch = Fetch.start(
            self._context.pool,
            address,
            request,
            on_result,
            timeout_s=CALL_TIMEOUT_S,
        )
        self._fetches.append(fetch)

    def _on_result(self, source: Address | None, result: FetchResult) -> None:
        if self._is_stopped:
            return
        try:
            manifest = self._decode(result)
            if not self._on_manifest(manifest, source):
                raise AdapterError(f"version {manifest.version} is not accepted")
        except AdapterError as error:
            logger.warning(
                "manifest not fetched",
                extra={"source": str(source or "origin"), "reason": str(error)},
            )
            self._search.on_failed(source, self._task.now())
            self._on_failed()
            return
        logger.info(
            "manifest fetched",
            extra={"source": str(source or "origin"), "version": manifest.version},
        )
        self.stop()

    def _decode(self, result: FetchResult) -> PieceDigests:
        if isinstance(result, ExchangeFailure):
            raise AdapterError(f"{result.kind.value}: {result.detail}")
        if not result.head.is_success:
            raise AdapterError(f"status {result.head.status}")
        manifest = wire.decode_manifest(result.body)
        if manifest.model != self.model:
            raise AdapterError(f"it is for model {manifest.model!r}")
        if self.version not in (None, manifest.version):
            raise AdapterError(f"it is for version {manifest.version}")
        return manifest
