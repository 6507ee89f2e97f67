"""Swap slots: how many instances of a service may swap versions at once.

The slots of a shard are one object in the platform. A holder keeps its slot
until it releases it or is gone from the instance list; one that fails to load
keeps it too, so a version that does not load stops its own rollout.
"""

import json
from dataclasses import dataclass
from typing import final

from bamboolever._platform import Platform, update_object
from bamboolever._subset import score_member

SLOT_KIND = "swap-slots"
INSTANCES_PER_SHARD = 32


@dataclass(frozen=True)
class SlotShard:
    """The object that holds an instance's slot, and its number of slots."""

    name: str
    capacity: int


def find_shard(
    service: str, instance_id: str, *, instance_count: int, serving_share: float
) -> SlotShard:
    """Return the shard of an instance in a service of this size."""
    shard_count = max(1, instance_count // INSTANCES_PER_SHARD)
    shard = score_member(service, instance_id) % shard_count
    slots = int(instance_count * (1 - serving_share)) // shard_count
    return SlotShard(f"{service}.{shard}", max(1, slots))


@final
@dataclass(frozen=True)
class SwapSlots:
    """The holders of one shard's slots."""

    holders: tuple[str, ...] = ()

    @classmethod
    def decode(cls, value: bytes | None) -> "SwapSlots":
        """Return the stored slots; an unreadable object counts as empty."""
        try:
            rows = json.loads(value or b"[]")
            return cls(tuple(str(row) for row in rows))
        except (ValueError, TypeError):
            return cls()

    def encode(self) -> bytes:
        """Return the stored form."""
        return json.dumps(list(self.holders)).encode()

    def acquire(
        self, holder: str, *, capacity: int, live: frozenset[str]
    ) -> "SwapSlots | None":
        """Return the slots with ``holder`` in one, or None when all are taken."""
        kept = tuple(h for h in self.holders if h in live and h != holder)
        if len(kept) >= capacity:
            return None
        return SwapSlots((*kept, holder))

    def release(self, holder: str) -> "SwapSlots":
        """Return the slots without ``holder``."""
        return SwapSlots(tuple(h for h in self.holders if h != holder))


@final
class SlotKeeper:
    """Takes and gives back one instance's swap slot in the platform."""

    def __init__(self, platform: Platform, service: str, instance_id: str):
        self._platform = platform
        self._service = service
        self._instance_id = instance_id
        # The shard moves with the size of the fleet: remember where to release.
        self._used_shards: set[str] = set()

    def acquire(self, live: frozenset[str], serving_share: float) -> bool:
        """Try to take a slot; return whether it is held. Blocks."""
        own = self._instance_id
        shard = find_shard(
            self._service,
            own,
            instance_count=len(live | {own}),
            serving_share=serving_share,
        )
        self._used_shards.add(shard.name)
        is_held = False

        def change(value: bytes | None) -> bytes | None:
            nonlocal is_held
            slots = SwapSlots.decode(value)
            changed = slots.acquire(own, capacity=shard.capacity, live=live | {own})
            is_held = changed is not None
            return changed.encode() if changed is not None else None

        update_object(self._platform, SLOT_KIND, shard.name, change)
        return is_held

    def release(self) -> bool:
        """Give back whatever may be held; return that none is. Blocks."""
        own = self._instance_id

        def change(value: bytes | None) -> bytes | None:
            slots = SwapSlots.decode(value)
            if own not in slots.holders:
                return None
            return slots.release(own).encode()

        for shard in sorted(self._used_shards):
            update_object(self._platform, SLOT_KIND, shard, change)
            self._used_shards.discard(shard)
        return False
