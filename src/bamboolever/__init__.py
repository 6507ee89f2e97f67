"""Distributes model weights to a fleet of instances and routes calls to them.

The public names are the components that the daemons are built from; they can be
used without the daemons. Those that make decisions are pure: they take an event and
the time in seconds, and return the actions to take.
"""

import importlib
from typing import TYPE_CHECKING, Any

if TYPE_CHECKING:
    from bamboolever._activation import (
        Activation,
        ActivationAction,
        ActivationState,
        ActivationTarget,
        ServedModel,
    )
    from bamboolever._chunkstore import ChunkStore, MemoryChunkStore
    from bamboolever._claims import (
        ClaimOperation,
        ClaimRecord,
        ClaimShard,
        ClaimVerdict,
    )
    from bamboolever._fairqueue import FairQueue
    from bamboolever._feed import ConfigurationFeed, RefusedDocument
    from bamboolever._grants import GrantRequest, SegmentGrants
    from bamboolever._kernel import Kernel, KernelError, Service
    from bamboolever._manifest import Chunk, Manifest, ManifestError
    from bamboolever._membership import Member, Membership
    from bamboolever._origin import Origin, OriginError
    from bamboolever._planner import (
        DistributionPolicy,
        FetchFromOrigin,
        FetchFromPeer,
        PeerLocation,
        PeerView,
        RequestGrant,
        TransferView,
    )
    from bamboolever._platform import (
        InstanceRecord,
        Platform,
        PlatformError,
        PlatformUnavailable,
        Snapshot,
        StoredObject,
        WatchGap,
        WriteAmbiguous,
        WriteConflict,
        update_object,
        write_resolved,
    )
    from bamboolever._poison import PoisonGuard
    from bamboolever._policies import make_policy, register_policy
    from bamboolever._ratelimit import TokenBucket
    from bamboolever._retry import RetryBudget, backoff_s
    from bamboolever._routing import RoutingPolicy, RoutingRequest, UpstreamView
    from bamboolever._subset import rank_members, select_subset
    from bamboolever._task import IoTask
    from bamboolever._upstream import Upstream, UpstreamError

# A module is imported when one of its names is first used, so that a daemon loads
# only what it needs.
_NAMES_BY_MODULE = {
    "bamboolever._activation": (
        "Activation",
        "ActivationAction",
        "ActivationState",
        "ActivationTarget",
        "ServedModel",
    ),
    "bamboolever._chunkstore": (
        "ChunkStore",
        "MemoryChunkStore",
    ),
    "bamboolever._claims": (
        "ClaimOperation",
        "ClaimRecord",
        "ClaimShard",
        "ClaimVerdict",
    ),
    "bamboolever._fairqueue": ("FairQueue",),
    "bamboolever._feed": (
        "ConfigurationFeed",
        "RefusedDocument",
    ),
    "bamboolever._grants": (
        "GrantRequest",
        "SegmentGrants",
    ),
    "bamboolever._kernel": (
        "Kernel",
        "KernelError",
        "Service",
    ),
    "bamboolever._manifest": (
        "Chunk",
        "Manifest",
        "ManifestError",
    ),
    "bamboolever._membership": (
        "Member",
        "Membership",
    ),
    "bamboolever._origin": (
        "Origin",
        "OriginError",
    ),
    "bamboolever._planner": (
        "DistributionPolicy",
        "FetchFromOrigin",
        "FetchFromPeer",
        "PeerLocation",
        "PeerView",
        "RequestGrant",
        "TransferView",
    ),
    "bamboolever._platform": (
        "InstanceRecord",
        "Platform",
        "PlatformError",
        "PlatformUnavailable",
        "Snapshot",
        "StoredObject",
        "WatchGap",
        "WriteAmbiguous",
        "WriteConflict",
        "update_object",
        "write_resolved",
    ),
    "bamboolever._poison": ("PoisonGuard",),
    "bamboolever._policies": (
        "make_policy",
        "register_policy",
    ),
    "bamboolever._ratelimit": ("TokenBucket",),
    "bamboolever._retry": (
        "RetryBudget",
        "backoff_s",
    ),
    "bamboolever._routing": (
        "RoutingPolicy",
        "RoutingRequest",
        "UpstreamView",
    ),
    "bamboolever._subset": (
        "rank_members",
        "select_subset",
    ),
    "bamboolever._task": ("IoTask",),
    "bamboolever._upstream": (
        "Upstream",
        "UpstreamError",
    ),
}
_MODULE_BY_NAME = {
    name: module for module, exported in _NAMES_BY_MODULE.items() for name in exported
}


def __getattr__(name: str) -> Any:
    """Import the module that defines the public name ``name`` and return its value.

    Raises `AttributeError` when the name is not public.
    """
    module = _MODULE_BY_NAME.get(name)
    if module is None:
        raise AttributeError(f"module 'bamboolever' has no attribute {name!r}")
    return getattr(importlib.import_module(module), name)


__all__ = [
    "Activation",
    "ActivationAction",
    "ActivationState",
    "ActivationTarget",
    "Chunk",
    "ChunkStore",
    "ClaimOperation",
    "ClaimRecord",
    "ClaimShard",
    "ClaimVerdict",
    "ConfigurationFeed",
    "DistributionPolicy",
    "FairQueue",
    "FetchFromOrigin",
    "FetchFromPeer",
    "GrantRequest",
    "InstanceRecord",
    "IoTask",
    "Kernel",
    "KernelError",
    "Manifest",
    "ManifestError",
    "Member",
    "Membership",
    "MemoryChunkStore",
    "Origin",
    "OriginError",
    "PeerLocation",
    "PeerView",
    "Platform",
    "PlatformError",
    "PlatformUnavailable",
    "PoisonGuard",
    "RefusedDocument",
    "RequestGrant",
    "RetryBudget",
    "RoutingPolicy",
    "RoutingRequest",
    "SegmentGrants",
    "ServedModel",
    "Service",
    "Snapshot",
    "StoredObject",
    "TokenBucket",
    "TransferView",
    "Upstream",
    "UpstreamError",
    "UpstreamView",
    "WatchGap",
    "WriteAmbiguous",
    "WriteConflict",
    "backoff_s",
    "make_policy",
    "rank_members",
    "register_policy",
    "select_subset",
    "update_object",
    "write_resolved",
]
