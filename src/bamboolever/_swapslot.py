"""Limits how many instances of a service swap versions at the same time.

An instance that serves calls takes a swap slot before it loads another version, so that
enough instances keep serving. The slots are divided into shards, each of which is one
object in the platform. A large fleet thus does not write to a single object.

A holder keeps its slot until it releases it or is gone from the instance list. One that
fails to load the version keeps it too, so that a version that does not load stops its
own rollout.
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
    """Name and number of slots of the object in which an instance takes its slot."""

    name: str
    capacity: int


def find_shard(
    service: str, instance_id: str, *, instance_count: int, serving_share: float
) -> SlotShard:
    """Return the shard of an instance.

    ``serving_share`` is the share of the service's instances that keep serving. Each
    shard has at least one slot.
    """
    shard_count = max(1, instance_count // INSTANCES_PER_SHARD)
    shard = score_member(service, instance_id) % shard_count
    slots = int(instance_count * (1 - serving_share)) // shard_count
    return SlotShard(f"{service}.{shard}", max(1, slots))


@final
@dataclass(frozen=True)
class SwapSlots:
    """The instances that hold the slots of one shard."""

    holders: tuple[str, ...] = ()

    @classmethod
    def decode(cls, value: bytes | None) -> "SwapSlots":
        """Return the stored slots; an invalid object counts as empty."""
        try:
            rows = json.loads(value or b"[]")
            return cls(tuple(str(row) for row in rows))
        except (ValueError, TypeError):
            return cls()

    def encode(self) -> bytes:
        """Return the value to store in the platform."""
        return json.dumps(list(self.holders)).encode()

    def acquire(
        self, holder: str, *, capacity: int, live_instances: frozenset[str]
    ) -> "SwapSlots | None":
        """Return the slots with ``holder`` added, or None if all are taken.

        Slots of instances that are not in ``live_instances`` are released.
        """
        others = tuple(h for h in self.holders if h in live_instances and h != holder)
        if len(others) >= capacity:
            return None
        return SwapSlots((*others, holder))

    def release(self, holder: str) -> "SwapSlots":
        """Return the slots without ``holder``."""
        return SwapSlots(tuple(h for h in self.holders if h != holder))


@final
class SwapSlotClient:
    """Acquires and releases one instance's swap slot in the platform."""

    def __init__(self, platform: Platform, service: str, instance_id: str):
        self._platform = platform
        self._service = service
        self._instance_id = instance_id
        # The shard changes with the fleet's size, so remember where to release.
        self._used_shards: set[str] = set()

    def acquire(self, live_instances: frozenset[str], serving_share: float) -> bool:
        """Try to take a slot; return whether it is held. Blocks.

        Raises `PlatformError`.
        """
        own = self._instance_id
        shard = find_shard(
            self._service,
            own,
            instance_count=len(live_instances | {own}),
            serving_share=serving_share,
        )
        self._used_shards.add(shard.name)
        is_held = False

        def change(value: bytes | None) -> bytes | None:
            nonlocal is_held
            slots = SwapSlots.decode(value)
            changed = slots.acquire(
                own, capacity=shard.capacity, live_instances=live_instances | {own}
            )
            is_held = changed is not None
            return changed.encode() if changed is not None else None

        update_object(self._platform, SLOT_KIND, shard.name, change)
        return is_held

    def release(self) -> bool:
        """Release the slots of all shards used so far; return False. Blocks.

        The result tells whether a slot is still held, as that of `acquire` does.
        Raises `PlatformError`.
        """
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
