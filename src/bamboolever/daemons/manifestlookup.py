"""Carries out the search for a manifest when no version of the model was named.

Takes what the origin and other agents answer. Decides whether the version that an
answer states may be believed.

Load pattern: engines that start empty before a version is named, behind an origin that
may damage what it sends. A wrong version in one answer would be spread to the whole
fleet, and pieces of another version be loaded under its name. The origin is therefore
asked once more, now for the version that it stated, and the two answers must agree.
Other agents have done so already: theirs are believed.
"""

import logging
from collections.abc import Callable
from typing import final

from bamboolever._task import Timer
from bamboolever.daemons.loadercontext import LoaderContext
from bamboolever.daemons.manifestfetch import ManifestFetch, ManifestQuery
from bamboolever.net.addresses import Address
from bamboolever.platform.weights import PieceDigests
from bamboolever.weights.manifests import MIN_RETRY_DELAY_S

logger = logging.getLogger(__name__)


@final
class ManifestLookup(ManifestQuery):
    """Finds the newest version at the origin or another agent, and its manifest.

    ``on_manifest`` is called with a manifest that may be believed; it returns False to
    refuse it.
    """

    def __init__(
        self,
        context: LoaderContext,
        model: str,
        on_manifest: Callable[[PieceDigests], bool],
    ):
        self._context = context
        self._on_manifest = on_manifest
        self._is_named = False
        self._found: PieceDigests | None = None
        self._is_stopped = False
        self._timer: Timer | None = None
        super().__init__(model)
        self._fetch = self._make_newest_fetch()

    @property
    def version(self) -> int | None:
        """The version that the origin stated and is asked for again, if any."""
        return self._found.version if self._found is not None else None

    def on_named(self) -> None:
        """Pass the next answer on: there is a version to compare it with."""
        self._is_named = True

    def start(self) -> None:
        """Ask for the newest version."""
        self._fetch.start()

    def stop(self) -> None:
        """Cancel all calls."""
        self._is_stopped = True
        self._fetch.stop()
        if self._timer is not None:
            self._timer.cancel()

    def on_announced(self, address: Address) -> None:
        """Ask an agent that announced pieces of the version."""
        self._fetch.on_announced(address)

    def _make_newest_fetch(self) -> ManifestFetch:
        return ManifestFetch(self._context, self.model, None, self._on_newest)

    def _on_newest(self, manifest: PieceDigests, source: Address | None) -> bool:
        if source is not None or self._is_named:
            return self._on_manifest(manifest)
        logger.info("asking for the version found", extra={"version": manifest.version})
        self._found = manifest
        self._fetch.stop()
        self._fetch = ManifestFetch(
            self._context,
            self.model,
            manifest.version,
            self._on_again,
            is_origin_only=True,
            on_failed=self._look_up_again,
        )
        self._fetch.start()
        return True

    def _on_again(self, manifest: PieceDigests, source: Address | None) -> bool:
        if source is None and manifest != self._found:
            return False
        return self._on_manifest(manifest)

    def _look_up_again(self) -> None:
        """Forget what the origin stated, as it does not state it again."""
        if self._is_stopped:
            return
        self._fetch.stop()
        self._found = None
        self._fetch = self._make_newest_fetch()
        self._timer = self._context.task.call_later(MIN_RETRY_DELAY_S, self.start)
