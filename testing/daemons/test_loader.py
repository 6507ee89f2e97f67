"""Loading of one engine when a second rollout starts during the first."""

import pytest
from loaderreplay import LoneContext
from sitebuilders import make_profile

from bamboolever.daemons.loader import EngineLoader
from bamboolever.fleet.records import ModelVersion
from bamboolever.fleet.versions import VersionRollouts
from bamboolever.net.addresses import Address
from bamboolever.platform.weights import PieceDigests
from bamboolever.weights.loading import SWITCH_DURATION_S
from bamboolever.weights.plan import make_piece_policy

FIRST, SECOND = ModelVersion("model-1", 2), ModelVersion("model-1", 3)
TIMEOUT_S = 8.0
LINK_BYTES_PER_S = 1000.0
# The transfer of one version takes about 6.5 seconds.
WEIGHT_BYTES = 6000


class Context(LoneContext):
    def profile(self):
        return make_profile(weight_bytes=WEIGHT_BYTES)


class EndlessTransfer:
    """A transfer that is in progress and never completes."""

    is_started = True
    is_complete = False
    staged_at = None

    def __init__(self):
        self.started = []
        self.drops = 0

    def start(self, model, version, on_version):
        self.started.append(version)

    def drop(self):
        self.drops += 1


@pytest.fixture
def context():
    return Context()


@pytest.fixture
def loader(context):
    engine = Address("127.0.0.1", 9000)
    policy = make_piece_policy("region-chain")
    rollouts = VersionRollouts(TIMEOUT_S)
    loader = EngineLoader(context, engine, rollouts, LINK_BYTES_PER_S, policy)
    loader.transfer = EndlessTransfer()
    return loader


def _start_rollout(loader, context, model_version):
    now = context.task.now()
    loader._rollouts.add(model_version.model, model_version.version, now)
    loader.start_rollout(model_version, now)


def test_superseded_transfer_is_finished_if_no_engine_would_serve_otherwise(
    loader, context
):
    _start_rollout(loader, context, FIRST)
    context.task.advance(4.0)
    _start_rollout(loader, context, SECOND)
    loader.advance()
    assert set(loader.transfer.started) == {FIRST.version}


def test_superseded_version_is_dropped_when_it_would_expire_before_serving(
    loader, context
):
    _start_rollout(loader, context, FIRST)
    context.task.advance(4.0)
    _start_rollout(loader, context, SECOND)
    context.task.advance(TIMEOUT_S - SWITCH_DURATION_S)
    loader.advance()
    assert loader.transfer.started[-1] == SECOND.version


def test_rollout_shortly_after_another_replaces_it(loader, context):
    _start_rollout(loader, context, FIRST)
    context.task.advance(0.5)
    _start_rollout(loader, context, SECOND)
    assert loader.transfer.started[-1] == SECOND.version


@pytest.mark.parametrize("elapsed_s", [0.5, 4.0])
def test_named_version_replaces_one_that_was_looked_up(loader, context, elapsed_s):
    """Guards against a version that only the origin stated, and that is higher."""
    loader._accept_manifest(PieceDigests("model-1", 7, ()))
    context.task.advance(elapsed_s)
    _start_rollout(loader, context, FIRST)
    assert loader.transfer.started == [FIRST.version]


def test_transfer_is_kept_while_the_newer_version_cannot_be_fetched(loader, context):
    """Guards against engines that had neither of two versions.

    All agents dropped a version after two seconds of its transfer for the next one.
    The origin was down by then, so no engine served once the oldest version expired.
    """
    _start_rollout(loader, context, FIRST)
    context.task.advance(0.5)
    _start_rollout(loader, context, SECOND)
    context.task.advance(2.0)
    loader.advance()
    assert set(loader.transfer.started) == {FIRST.version}
