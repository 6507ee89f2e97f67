"""One engine's way to the intended version, where two are named in a row."""

import pytest
from manualtask import ManualPool, ManualTask
from sitebuilders import make_profile

from bamboolever.daemons.loader import EngineLoader
from bamboolever.daemons.loadercontext import LoaderContext
from bamboolever.fleet.records import ModelVersion
from bamboolever.fleet.versions import VersionRollouts
from bamboolever.net.addresses import Address
from bamboolever.weights.loading import SWITCH_DURATION_S
from bamboolever.weights.plan import Peer, make_piece_policy

FIRST, SECOND = ModelVersion("model-1", 2), ModelVersion("model-1", 3)
TIMEOUT_S = 8.0
LINK_BYTES_PER_S = 1000.0
# One version takes about six and a half seconds.
WEIGHT_BYTES = 6000


class Owner(LoaderContext):
    def __init__(self):
        self.task = ManualTask()
        self.pool = ManualPool(self.task)

    def profile(self):
        return make_profile(weight_bytes=WEIGHT_BYTES)

    def origin(self):
        return None

    def own(self):
        return Peer(Address("127.0.0.1", 7000), "region-1")

    def peers(self):
        return []

    def region_of(self, availability_zone):
        return "region-1"

    def may_cut(self):
        return False

    def refresh_lists(self):
        pass

    def announce(self, piece_map, addresses):
        pass

    def on_served_changed(self):
        pass

    def uploads(self):
        return 0


class Moving:
    """A transfer that is under way and never ends."""

    is_begun = True
    is_complete = False
    staged_at = None

    def __init__(self):
        self.begun = []
        self.drops = 0

    def begin(self, model, version, on_version):
        self.begun.append(version)

    def drop(self):
        self.drops += 1


@pytest.fixture
def owner():
    return Owner()


@pytest.fixture
def loader(owner):
    engine = Address("127.0.0.1", 9000)
    policy = make_piece_policy("region-chain")
    versions = VersionRollouts(TIMEOUT_S)
    made = EngineLoader(owner, engine, versions, LINK_BYTES_PER_S, policy)
    made.transfer = Moving()
    return made


def _name(loader, owner, named):
    now = owner.task.now()
    loader._versions.add(named.model, named.version, now)
    loader.name_version(named, now)


def test_version_overtaken_under_way_is_finished_where_nothing_else_serves(
    loader, owner
):
    _name(loader, owner, FIRST)
    owner.task.advance(4.0)
    _name(loader, owner, SECOND)
    loader.advance()
    assert set(loader.transfer.begun) == {FIRST.version}


def test_overtaken_version_is_given_up_when_it_would_serve_nothing(loader, owner):
    _name(loader, owner, FIRST)
    owner.task.advance(4.0)
    _name(loader, owner, SECOND)
    owner.task.advance(TIMEOUT_S - SWITCH_DURATION_S)
    loader.advance()
    assert loader.transfer.begun[-1] == SECOND.version


def test_version_named_at_once_after_another_replaces_it(loader, owner):
    _name(loader, owner, FIRST)
    owner.task.advance(0.5)
    _name(loader, owner, SECOND)
    assert loader.transfer.begun[-1] == SECOND.version
