"""Decode what the store tells and hand it to its users."""

import logging
from collections.abc import Callable
from typing import final

from bamboolever.config.model import Configuration
from bamboolever.config.watch import KindObserver
from bamboolever.fleet.records import ModelVersion, UpstreamRecord
from bamboolever.fleet.upstreams import UpstreamList
from bamboolever.platform import documents, names
from bamboolever.platform.errors import AdapterError
from bamboolever.platform.store import StoredDocument

logger = logging.getLogger(__name__)


class _LoggingObserver(KindObserver):
    """Logs lost and regained contact of one watch."""

    kind = ""

    def on_confirmed(self, as_of: float) -> None:
        """Ignore; observers that need it override."""

    def on_contact(self, is_reached: bool, reason: str) -> None:
        """Log the change."""
        logger.info(
            "store reached" if is_reached else "store lost",
            extra={"kind": self.kind, "reason": reason},
        )


@final
class ConfigurationObserver(_LoggingObserver):
    """Hands whole configurations on, and until when they were the newest."""

    kind = names.CONFIGURATION_KIND

    def __init__(
        self,
        on_configuration: Callable[[Configuration], None],
        on_confirmed: Callable[[float], None],
    ):
        self._on_configuration = on_configuration
        self._on_confirmed = on_confirmed
        self._is_current = False

    def on_listing(self, documents_: tuple[StoredDocument, ...]) -> None:
        """Take over the configuration among the objects."""
        self.on_changes(documents_)

    def on_changes(self, documents_: tuple[StoredDocument, ...]) -> None:
        """Take over the newest configuration among the changes."""
        found = [item for item in documents_ if item.name == names.CONFIGURATION_NAME]
        if not found or found[-1].value is None:
            return
        try:
            configuration = documents.decode_configuration(found[-1].value)
        except AdapterError as error:
            # The older configuration stays, and is no longer known as the newest.
            self._is_current = False
            logger.error("configuration ignored", extra={"reason": str(error)})
            return
        self._is_current = True
        self._on_configuration(configuration)

    def on_confirmed(self, as_of: float) -> None:
        """Pass on that the configuration is the newest."""
        if self._is_current:
            self._on_confirmed(as_of)


@final
class UpstreamObserver(_LoggingObserver):
    """Keeps the list of upstreams."""

    kind = names.UPSTREAM_KIND

    def __init__(
        self,
        upstreams: UpstreamList,
        now: Callable[[], float],
        on_changed: Callable[[], None],
    ):
        self._upstreams = upstreams
        self._now = now
        self._on_changed = on_changed

    def on_listing(self, documents_: tuple[StoredDocument, ...]) -> None:
        """Replace the list."""
        decoded = [_decode(document) for document in documents_]
        records = [record for record in decoded if record is not None]
        self._upstreams.apply_listing(records, self._now())
        self._on_changed()

    def on_changes(self, documents_: tuple[StoredDocument, ...]) -> None:
        """Apply changes in their order."""
        for document in documents_:
            record = _decode(document)
            if record is not None:
                self._upstreams.put(record)
            else:
                self._upstreams.remove(document.name, self._now())
        self._on_changed()

    def on_contact(self, is_reached: bool, reason: str) -> None:
        """Note lost and regained contact."""
        super().on_contact(is_reached, reason)
        self._upstreams.set_store_reachable(is_reached, self._now())


@final
class VersionObserver(_LoggingObserver):
    """Hands named versions on, and whether each was named just now."""

    kind = names.VERSION_KIND

    def __init__(self, on_version: Callable[[ModelVersion, bool], None]):
        self._on_version = on_version
        self._is_listed = False

    def on_listing(self, documents_: tuple[StoredDocument, ...]) -> None:
        """Hand all named versions on."""
        # What a first listing holds may have been named at any time before.
        self._hand_on(documents_, is_new=self._is_listed)
        self._is_listed = True

    def on_changes(self, documents_: tuple[StoredDocument, ...]) -> None:
        """Hand changed versions on."""
        self._hand_on(documents_, is_new=True)

    def _hand_on(self, documents_: tuple[StoredDocument, ...], *, is_new: bool) -> None:
        for document in documents_:
            if document.value is None:
                continue
            try:
                named = documents.decode_version(document.value)
            except AdapterError as error:
                logger.warning("version ignored", extra={"reason": str(error)})
                continue
            self._on_version(named, is_new)


def _decode(document: StoredDocument) -> UpstreamRecord | None:
    if document.value is None:
        return None
    try:
        return documents.decode_upstream(document.name, document.value)
    except AdapterError as error:
        logger.warning(
            "upstream ignored", extra={"name_": document.name, "reason": str(error)}
        )
        return None
