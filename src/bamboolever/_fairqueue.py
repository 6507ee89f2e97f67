"""A weighted fair queue (start-time fair queueing).

An entry's calls wait in one queue per service, with one flow per workspace. Each
flow is served in proportion to its weight, so that a workspace which floods the
queue delays only its own calls.
"""

from collections import deque
from dataclasses import dataclass, field
from typing import Generic, TypeVar, final

Item = TypeVar("Item")


@dataclass
class _Flow(Generic[Item]):
    weight: float
    # Virtual time at which its next item is due.
    start_tag: float
    items: deque[Item] = field(default_factory=deque)


@final
class FairQueue(Generic[Item]):
    """A queue of flows, each of which is first in, first out.

    Its length is the number of waiting items of all flows.

    >>> queue = FairQueue()
    >>> for item in ("a1", "a2", "a3"):
    ...     queue.push("a", item, weight=1.0)
    >>> queue.push("b", "b1", weight=1.0)
    >>> [queue.pop() for _ in range(4)]
    ['a1', 'b1', 'a2', 'a3']
    """

    def __init__(self) -> None:
        self._flows: dict[str, _Flow[Item]] = {}
        self._virtual_time = 0.0
        self._size = 0

    def __len__(self) -> int:
        return self._size

    def flow_size(self, flow_name: str) -> int:
        """Return the number of items that wait in a flow."""
        flow = self._flows.get(flow_name)
        return len(flow.items) if flow else 0

    def push(
        self, flow_name: str, item: Item, *, weight: float, is_first: bool = False
    ) -> None:
        """Add an item at the end of its flow, or at its head if ``is_first``.

        ``weight`` must be above 0 and replaces the weight of the whole flow.
        """
        flow = self._flows.get(flow_name)
        if flow is None:
            flow = self._flows[flow_name] = _Flow(weight, self._virtual_time)
        flow.weight = weight
        if is_first:
            flow.items.appendleft(item)
        else:
            flow.items.append(item)
        self._size += 1

    def list_flows(self) -> list[str]:
        """Return the names of the flows with waiting items, in the order of service."""
        order = sorted(
            self._flows.items(), key=lambda pair: (pair[1].start_tag, pair[0])
        )
        return [flow_name for flow_name, _ in order]

    def peek(self, flow_name: str) -> Item:
        """Return the first item of a flow without removing it."""
        return self._flows[flow_name].items[0]

    def pop(self, flow_name: str | None = None) -> Item:
        """Remove and return the first item of a flow, by default of the next to serve.

        Raises `IndexError` if the queue is empty.
        """
        if flow_name is None:
            order = self.list_flows()
            if not order:
                raise IndexError("the queue is empty")
            flow_name = order[0]
        flow = self._flows[flow_name]
        item = flow.items.popleft()
        self._size -= 1
        self._virtual_time = max(self._virtual_time, flow.start_tag)
        flow.start_tag += 1.0 / flow.weight
        if not flow.items:
            del self._flows[flow_name]
        return item

    def remove(self, flow_name: str, item: Item) -> bool:
        """Remove an item from its flow; return whether it was waiting."""
        flow = self._flows.get(flow_name)
        if flow is None or item not in flow.items:
            return False
        flow.items.remove(item)
        self._size -= 1
        if not flow.items:
            del self._flows[flow_name]
        return True

    def items(self) -> list[Item]:
        """Return the waiting items of all flows."""
        return [item for flow in self._flows.values() for item in flow.items]
