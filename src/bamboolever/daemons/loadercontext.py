"""What the parts that load an engine need of their agent."""

from abc import ABC, abstractmethod

from bamboolever._task import IoTask
from bamboolever.config.model import EngineProfile, WeightOrigin
from bamboolever.fleet.exchange import PieceMap
from bamboolever.net.addresses import Address
from bamboolever.net.client import ConnectionPool
from bamboolever.weights.plan import Peer


class LoaderContext(ABC):
    """What a loader needs of its agent."""

    task: IoTask
    pool: ConnectionPool

    @abstractmethod
    def profile(self) -> EngineProfile | None:
        """Return what the engine's service declares, if it is known."""

    @abstractmethod
    def origin(self) -> WeightOrigin | None:
        """Return where weights come from, if it is known."""

    @abstractmethod
    def own(self) -> Peer:
        """Return this agent's place."""

    @abstractmethod
    def peers(self) -> list[Peer]:
        """Return the other agents of the service."""

    @abstractmethod
    def region_of(self, availability_zone: str) -> str:
        """Return the region of an availability zone."""

    @abstractmethod
    def may_cut(self) -> bool:
        """Tell whether every request of the service may be resumed elsewhere."""

    @abstractmethod
    def refresh_lists(self) -> None:
        """Read configuration and upstreams anew."""

    @abstractmethod
    def announce(self, piece_map: PieceMap, addresses: list[Address]) -> None:
        """Tell other agents which pieces are held here."""

    @abstractmethod
    def on_served_changed(self) -> None:
        """What the engine serves, or whether it takes requests, changed."""

    @abstractmethod
    def uploads(self) -> int:
        """Return how many pieces are being sent or wait for it."""
