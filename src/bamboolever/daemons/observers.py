"""Decode the objects that watches read from the store, and pass them on."""

import logging
from collections.abc import Callable
from typing import final

from bamboolever.config.model import Configuration
from bamboolever.config.observer import KindObserver
from bamboolever.fleet.evacuations import Evacuations
from bamboolever.fleet.records import ModelVersion, UpstreamRecord
from bamboolever.fleet.upstreams import UpstreamList
from bamboolever.platform import documents, names
from bamboolever.platform.errors import AdapterError
from bamboolever.platform.store import StoredDocument

logger = logging.getLogger(__name__)


class _LoggingObserver(KindObserver):
    """Logs when the watch of one kind loses or regains the store."""

    kind = ""

    def on_confirmed(self, as_of: float) -> None:
        """Do nothing; overridden where the time matters."""

    def on_store_restored(self) -> None:
        """Do nothing; overridden where an older copy of the objects matters."""

    def on_reachability_changed(self, is_reachable: bool, reason: str) -> None:
        """Log the change; called when the store became reachable or unreachable."""
        logger.info(
            "store reached" if is_reachable else "store lost",
            extra={"kind": self.kind, "reason": reason},
        )


@final
class ConfigurationObserver(_LoggingObserver):
    """Passes on each configuration, and when it was last known to be the newest.

    ``on_confirmed`` receives that time in seconds of the watch's task. It is not
    called while the newest configuration in the store does not decode.
    ``on_restored`` is called when the store came back from a copy.
    """

    kind = names.CONFIGURATION_KIND

    def __init__(
        self,
        on_configuration: Callable[[Configuration], None],
        on_confirmed: Callable[[float], None],
        on_restored: Callable[[], None] = lambda: None,
    ):
        self._on_restored = on_restored
        self._on_configuration = on_configuration
        self._on_confirmed = on_confirmed
        self._is_current = False

    def on_listing(self, documents_: tuple[StoredDocument, ...]) -> None:
        """Pass on the configuration in a complete listing."""
        self.on_changes(documents_)

    def on_changes(self, documents_: tuple[StoredDocument, ...]) -> None:
        """Pass on the newest configuration among the changes, if there is one."""
        found = [each for each in documents_ if each.name == names.CONFIGURATION_NAME]
        if not found or found[-1].value is None:
            return
        try:
            configuration = documents.decode_configuration(found[-1].value)
        except AdapterError as error:
            # The configuration in force stays, but the store has a newer one.
            self._is_current = False
            logger.error("configuration ignored", extra={"reason": str(error)})
            return
        self._is_current = True
        self._on_configuration(configuration)

    def on_store_restored(self) -> None:
        """Pass on that the store may lack the newest configuration."""
        self._on_restored()

    def on_confirmed(self, as_of: float) -> None:
        """Pass on that the configuration in force was the newest at ``as_of``."""
        if self._is_current:
            self._on_confirmed(as_of)


@final
class UpstreamObserver(_LoggingObserver):
    """Keeps an `UpstreamList` up to date with the store.

    ``now`` returns seconds of the watch's task. ``on_changed`` is called after each
    listing and each batch of changes.
    """

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
        # Why each record that does not decode was left out.
        self._ignored: dict[str, str] = {}

    def on_listing(self, documents_: tuple[StoredDocument, ...]) -> None:
        """Replace the list by a complete listing; undecodable records are left out."""
        listed = {document.name for document in documents_}
        for name in self._ignored.keys() - listed:
            del self._ignored[name]
        decoded = [self._decode(document) for document in documents_]
        records = [record for record in decoded if record is not None]
        for record in records:
            self._log_draining(record)
        self._upstreams.apply_listing(records, self._now())
        self._on_changed()

    def on_changes(self, documents_: tuple[StoredDocument, ...]) -> None:
        """Apply changes in order; a record that does not decode is removed."""
        for document in documents_:
            record = self._decode(document)
            if record is not None:
                self._log_draining(record)
                self._upstreams.put(record)
            else:
                self._remove(document.name)
        self._on_changed()

    def on_store_restored(self) -> None:
        """Keep the upstreams that the copy lacks until they are listed again."""
        self._upstreams.on_store_restored(self._now())

    def on_reachability_changed(self, is_reachable: bool, reason: str) -> None:
        """Log the change and pass it to the list, which keeps records in an outage."""
        super().on_reachability_changed(is_reachable, reason)
        self._upstreams.set_store_reachable(is_reachable, self._now())

    def _remove(self, name: str) -> None:
        self._upstreams.remove(name, self._now())
        if self._upstreams.is_removal_deferred(name):
            logger.info("removal of an upstream put off", extra={"upstream": name})

    def _decode(self, document: StoredDocument) -> UpstreamRecord | None:
        name = document.name
        if document.value is None:
            self._ignored.pop(name, None)
            return None
        try:
            record = documents.decode_upstream(name, document.value)
        except AdapterError as error:
            self._log_ignored(name, str(error))
            return None
        self._ignored.pop(name, None)
        return record

    def _log_draining(self, record: UpstreamRecord) -> None:
        """Log once that an upstream drains, before the list takes its record."""
        if not record.is_draining:
            return
        known = self._upstreams.get(record.instance_id, self._now())
        if known is None or not known.is_draining:
            logger.info("upstream drains", extra={"upstream": record.instance_id})

    def _log_ignored(self, name: str, reason: str) -> None:
        """Log a record that does not decode once, not at each of its heartbeats."""
        if self._ignored.get(name) == reason:
            return
        self._ignored[name] = reason
        logger.warning("upstream ignored", extra={"name_": name, "reason": reason})


@final
class VersionObserver(_LoggingObserver):
    """Passes on the version that each model's rollout targets.

    ``on_version`` also receives the store's revision at which it was named.
    """

    kind = names.VERSION_KIND

    def __init__(self, on_version: Callable[[ModelVersion, int | None], None]):
        self._on_version = on_version

    def on_listing(self, documents_: tuple[StoredDocument, ...]) -> None:
        """Pass on all versions of a complete listing."""
        self.on_changes(documents_)

    def on_changes(self, documents_: tuple[StoredDocument, ...]) -> None:
        """Pass on the changed versions."""
        for document in documents_:
            if document.value is None:
                continue
            try:
                model_version = documents.decode_version(document.value)
            except AdapterError as error:
                logger.warning("version ignored", extra={"reason": str(error)})
                continue
            self._on_version(model_version, document.revision)


@final
class EvacuationObserver(_LoggingObserver):
    """Keeps `Evacuations` up to date with the store.

    The object's name is that of the zone. Whatever else it holds, the zone is evacuated
    while it exists. ``now`` returns seconds of the watch's task, ``era`` the store's.
    ``on_changed`` is called after each listing and each batch of changes.
    """

    kind = names.EVACUATION_KIND

    def __init__(
        self,
        evacuations: Evacuations,
        now: Callable[[], float],
        era: Callable[[], int],
        on_changed: Callable[[], None],
    ):
        self._evacuations = evacuations
        self._now = now
        self._era = era
        self._on_changed = on_changed

    def on_listing(self, documents_: tuple[StoredDocument, ...]) -> None:
        """Replace the evacuations by a complete listing."""
        for document in documents_:
            _check_evacuation(document)
        revisions = {each.name: each.revision for each in documents_}
        self._evacuations.apply_listing(revisions, self._now())
        self._on_changed()

    def on_changes(self, documents_: tuple[StoredDocument, ...]) -> None:
        """Apply changes in order."""
        for document in documents_:
            if document.value is None:
                self._evacuations.remove(document.name, self._now())
                continue
            _check_evacuation(document)
            self._evacuations.put(document.name, document.revision, self._now())
        self._on_changed()

    def on_store_restored(self) -> None:
        """Keep the evacuations that the copy lacks until they are written again."""
        self._evacuations.on_store_restored(self._era(), self._now())


@final
class RevisionObserver(KindObserver):
    """Passes everything on to another observer, and confirmations to ``on_confirmed``.

    All kinds share the store's revision, so that each confirmation of one kind also
    says something about the objects of the others. ``on_reachability`` is called after
    the store was lost or reached again.
    """

    def __init__(
        self,
        observer: KindObserver,
        on_confirmed: Callable[[float], None],
        on_reachability: Callable[[bool], None] = lambda is_reachable: None,
    ):
        self._observer = observer
        self._on_confirmed = on_confirmed
        self._on_reachability = on_reachability

    def on_listing(self, documents_: tuple[StoredDocument, ...]) -> None:
        """Pass on a complete listing."""
        self._observer.on_listing(documents_)

    def on_changes(self, documents_: tuple[StoredDocument, ...]) -> None:
        """Pass on changed objects."""
        self._observer.on_changes(documents_)

    def on_confirmed(self, as_of: float) -> None:
        """Pass on that all objects were current at ``as_of``."""
        self._observer.on_confirmed(as_of)
        self._on_confirmed(as_of)

    def on_store_restored(self) -> None:
        """Pass on that the store came back from a copy."""
        self._observer.on_store_restored()

    def on_reachability_changed(self, is_reachable: bool, reason: str) -> None:
        """Pass on that the store became reachable or unreachable."""
        self._observer.on_reachability_changed(is_reachable, reason)
        self._on_reachability(is_reachable)


def _check_evacuation(document: StoredDocument) -> None:
    if document.value != {}:
        logger.warning(
            "evacuation has an unknown specification; the zone counts as evacuated",
            extra={"zone": document.name, "specification": str(document.value)[:100]},
        )
