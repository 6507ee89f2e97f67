"""The part of the configuration that an agent needs, and how it gets it.

Load pattern: see `fleet.configurationsearch`, which decides whom to ask. An agent asks
until it has a configuration, as the engine profile and the origin hardly ever change.
"""

import logging
import random
from collections.abc import Callable
from typing import final

from bamboolever._task import IoTask
from bamboolever.config.kindstate import Snapshot
from bamboolever.config.model import Configuration, EngineProfile, WeightOrigin
from bamboolever.config.watch import KindWatch
from bamboolever.daemons.observers import ConfigurationObserver
from bamboolever.daemons.snapshots import fetch_snapshot
from bamboolever.fleet.configurationsearch import ConfigurationSearch
from bamboolever.net.addresses import Address
from bamboolever.net.client import ConnectionPool

logger = logging.getLogger(__name__)


@final
class AgentConfiguration:
    """Gets the configuration from an entry, or from the store as the last resort.

    ``service`` is that of the agent's engine. ``make_watch`` returns a watch that is
    not started; it decodes what it gets for the observer. ``on_known`` is called after
    each new configuration.
    """

    def __init__(
        self,
        task: IoTask,
        pool: ConnectionPool,
        service: str | None,
        make_watch: Callable[[ConfigurationObserver], KindWatch],
        on_known: Callable[[], None],
    ):
        self._task = task
        self._pool = pool
        self._service = service
        self._on_known = on_known
        self._search = ConfigurationSearch(task.now(), random.random())
        self._configuration: Configuration | None = None
        self._is_listing = False
        observer = ConfigurationObserver(self._apply, lambda _as_of: None)
        self._watch = make_watch(observer)

    @property
    def profile(self) -> EngineProfile | None:
        """The engine profile of the agent's service, or None if unknown."""
        if self._configuration is None or self._service is None:
            return None
        found = self._configuration.services.get(self._service)
        return found.engine if found is not None else None

    @property
    def origin(self) -> WeightOrigin | None:
        """The origin of the weights, or None if unknown."""
        if self._configuration is None:
            return None
        origins = (item.origin for item in self._configuration.services.values())
        return next((item for item in origins if item is not None), None)

    @property
    def can_interrupt_requests(self) -> bool:
        """Whether every request of the service can be resumed elsewhere."""
        if self._configuration is None:
            return False
        return all(
            route.is_retry_safe
            for route in self._configuration.routes
            if any(share.service == self._service for share in route.targets)
        )

    def on_hello(self, entry: Address, *, is_same_cell: bool) -> None:
        """Ask an entry that said hello, if the configuration is unknown."""
        if self._configuration is not None:
            return
        now = self._task.now()
        if not self._search.on_hello(entry, now, is_same_cell=is_same_cell):
            return

        def on_snapshot(snapshot: Snapshot | None) -> None:
            if snapshot is not None:
                self._watch.apply_snapshot(snapshot)
            if self._configuration is None:
                logger.info("no configuration", extra={"entry": str(entry)})
                self._search.on_failed(entry)

        fetch_snapshot(self._pool, entry, self._watch.kind, on_snapshot)

    def list_if_needed(self) -> None:
        """List the store if no entry sends the configuration; call periodically."""
        if self._configuration is not None or self._is_listing:
            return
        if self._search.may_list(self._task.now()):
            # The watch lists again until it has succeeded.
            self._is_listing = True
            self._watch.start()

    def _apply(self, configuration: Configuration) -> None:
        known = self._configuration
        if known is not None and configuration.version < known.version:
            # A listing that may be seconds old.
            return
        self._configuration = configuration
        if known is None:
            logger.info(
                "configuration known",
                extra={"version": configuration.version, "listed": self._is_listing},
            )
            self._watch.stop()
        self._on_known()
