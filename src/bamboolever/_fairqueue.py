"""Fair queue: calls wait by workspace, and no workspace starves another."""

from collections import deque
from dataclasses import dataclass, field
from typing import Generic, TypeVar, final

Item = TypeVar("Item")


@dataclass
class _Lane(Generic[Item]):
    weight: float
    virtual_time: float
    items: deque[Item] = field(default_factory=deque)


@final
class FairQueue(Generic[Item]):
    """Serves lanes in proportion to their weights (start-time fairness).

    >>> queue = FairQueue()
    >>> for item in ("a1", "a2", "a3"):
    ...     queue.push("a", item, weight=1.0)
    >>> queue.push("b", "b1", weight=1.0)
    >>> [queue.pop() for _ in range(4)]
    ['a1', 'b1', 'a2', 'a3']
    """

    def __init__(self) -> None:
        self._lanes: dict[str, _Lane[Item]] = {}
        self._virtual_time = 0.0
        self._size = 0

    def __len__(self) -> int:
        return self._size

    def lane_size(self, name: str) -> int:
        """Return how many items wait in a lane."""
        lane = self._lanes.get(name)
        return len(lane.items) if lane else 0

    def push(
        self, name: str, item: Item, *, weight: float, is_first: bool = False
    ) -> None:
        """Add an item; ``is_first`` puts one back at the head of its lane."""
        lane = self._lanes.get(name)
        if lane is None:
            lane = self._lanes[name] = _Lane(weight, self._virtual_time)
        lane.weight = weight
        if is_first:
            lane.items.appendleft(item)
        else:
            lane.items.append(item)
        self._size += 1

    def lanes(self) -> list[str]:
        """Return the names of the waiting lanes, the next to serve first."""
        order = sorted(
            self._lanes.items(), key=lambda row: (row[1].virtual_time, row[0])
        )
        return [name for name, _ in order]

    def peek(self, name: str) -> Item:
        """Return the head of a lane."""
        return self._lanes[name].items[0]

    def pop(self, name: str | None = None) -> Item:
        """Take the head of a lane, by default of the next to serve.

        Raises `IndexError` when nothing waits.
        """
        if name is None:
            order = self.lanes()
            if not order:
                raise IndexError("the queue is empty")
            name = order[0]
        lane = self._lanes[name]
        item = lane.items.popleft()
        self._size -= 1
        self._virtual_time = max(self._virtual_time, lane.virtual_time)
        lane.virtual_time += 1.0 / lane.weight
        if not lane.items:
            del self._lanes[name]
        return item

    def remove(self, name: str, item: Item) -> bool:
        """Take a waiting item out of its lane; return whether it was there."""
        lane = self._lanes.get(name)
        if lane is None or item not in lane.items:
            return False
        lane.items.remove(item)
        self._size -= 1
        if not lane.items:
            del self._lanes[name]
        return True

    def items(self) -> list[Item]:
        """Return every waiting item."""
        return [item for lane in self._lanes.values() for item in lane.items]
