"""Interface through which loading and transfer use their agent."""

from abc import ABC, abstractmethod

from bamboolever._task import IoTask
from bamboolever.config.model import EngineProfile, WeightOrigin
from bamboolever.fleet.messages import PieceMap
from bamboolever.net.addresses import Address
from bamboolever.net.client import ConnectionPool
from bamboolever.weights.view import Peer


class LoaderContext(ABC):
    """What `EngineLoader` and `Transfer` need from their agent.

    Every method is called on ``task``; ``pool`` sends their HTTP requests.
    """

    task: IoTask
    pool: ConnectionPool

    @abstractmethod
    def profile(self) -> EngineProfile | None:
        """Return the engine profile of the upstream's service, or None if unknown."""

    @abstractmethod
    def origin(self) -> WeightOrigin | None:
        """Return the origin of the weights, or None if unknown."""

    @abstractmethod
    def own_peer(self) -> Peer:
        """Return this agent's address and region."""

    @abstractmethod
    def peers(self) -> list[Peer]:
        """Return the other agents of the service."""

    @abstractmethod
    def can_plan_transfer(self) -> bool:
        """Return whether the list of other agents is known, or is overdue.

        An agent that does not know the others would read from the origin what they
        read as well.
        """

    @abstractmethod
    def region_of(self, availability_zone: str) -> str:
        """Return the region of an availability zone."""

    @abstractmethod
    def can_interrupt_requests(self) -> bool:
        """Return whether every request of the service can be resumed elsewhere."""

    @abstractmethod
    def refresh_lists(self) -> None:
        """Read the list of upstreams from the store again."""

    @abstractmethod
    def announce_pieces(self, piece_map: PieceMap, addresses: list[Address]) -> None:
        """Send a piece map to the agents at these addresses."""

    @abstractmethod
    def on_serving_changed(self) -> None:
        """Called when the engine serves another version, drains or stops draining."""

    @abstractmethod
    def upload_count(self) -> int:
        """Return how many pieces this agent is sending or has queued."""
