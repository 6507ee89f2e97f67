"""An entry's datagrams: greetings to agents, loads and findings to peers.

Load pattern: several entries share the same upstreams. What each has there, whom
it rejected and which requests crash upstreams travels in batches a few times a
second, so that all decide on nearly the same picture.
"""

import logging
from collections.abc import Callable

from bamboolever._task import IoTask
from bamboolever._telemetry import Telemetry
from bamboolever.calls.poison import CrashLedger
from bamboolever.calls.returns import ReturnLedger
from bamboolever.daemons.entryfleet import EntryFleet
from bamboolever.fleet import exchange
from bamboolever.net.addresses import Address
from bamboolever.net.datagrams import DatagramPort

logger = logging.getLogger(__name__)

LOAD_PERIOD_S = 0.04
LOAD_HEARTBEAT_S = 0.5
HELLO_PERIOD_S = 1.0
# Twenty bytes each at the most, in a datagram that no link splits.
MAX_REJECTIONS_A_DATAGRAM = 60


class EntryExchange:
    """Owns the datagram port of an entry."""

    def __init__(
        self,
        task: IoTask,
        name: str,
        address: Address,
        fleet: EntryFleet,
        telemetry: Telemetry,
        on_changed: Callable[[], None],
        is_ready: Callable[[], bool],
    ):
        self._task = task
        self._name = name
        self._fleet = fleet
        self._telemetry = telemetry
        self._on_changed = on_changed
        self._is_ready = is_ready
        self._port = DatagramPort(task, address, self._on_datagram)
        self._load_sent_at = 0.0
        self._is_load_due = False
        self._new_rejections: dict[int, float] = {}
        self.returns = ReturnLedger()
        self.crashes = CrashLedger()

    def start(self) -> None:
        """Receive datagrams and begin to greet; call on the task's thread."""
        self._port.start()
        self._greet_regularly()
        self._send_load_if_quiet()

    def send_hello_to_agents(self) -> None:
        """Make this entry known to the agents; each answers with its state."""
        data = exchange.encode(exchange.Hello(self._name))
        for address in self._fleet.agent_addresses():
            self._port.send(data, address)

    def schedule_load_update(self) -> None:
        """Tell the peers this entry's load soon."""
        if self._is_load_due:
            return
        self._is_load_due = True
        wait_s = self._load_sent_at + LOAD_PERIOD_S - self._task.now()
        self._task.call_later(max(0.0, wait_s), self._send_load)

    def record_rejection(self, digest: int, first_at: float) -> None:
        """Note a rejected request, here and at the peers."""
        self.returns.on_rejected(digest, first_at, self._task.now())
        self._new_rejections[digest] = first_at
        self.schedule_load_update()

    def send_crash_report(self, digests: list[int]) -> None:
        """Tell the peers which requests are blamed for a crash."""
        self._send_to_peers(exchange.CrashReport(tuple(digests)))

    def _greet_regularly(self) -> None:
        self.send_hello_to_agents()
        self._task.call_later(HELLO_PERIOD_S, self._greet_regularly)

    def _send_load_if_quiet(self) -> None:
        if self._task.now() - self._load_sent_at >= LOAD_HEARTBEAT_S:
            self._send_load()
        self._task.call_later(LOAD_HEARTBEAT_S, self._send_load_if_quiet)

    def _send_load(self) -> None:
        self._is_load_due = False
        now = self._task.now()
        self._load_sent_at = now
        self._send_to_peers(self._fleet.own_load(is_ready=self._is_ready()))
        if self._new_rejections:
            rejected = list(self._new_rejections.items())
            self._new_rejections = {}
            for start in range(0, len(rejected), MAX_REJECTIONS_A_DATAGRAM):
                part = rejected[start : start + MAX_REJECTIONS_A_DATAGRAM]
                ages_s = {digest: now - first_at for digest, first_at in part}
                self._send_to_peers(exchange.Rejections(ages_s))

    def _send_to_peers(self, message: exchange.Message) -> None:
        addresses = self._fleet.peers.recipients(self._task.now())
        if not addresses:
            return
        data = exchange.encode(message)
        for address in addresses:
            self._port.send(data, address)

    def _on_datagram(self, data: bytes, sender: Address) -> None:
        try:
            message = exchange.decode(data)
        except exchange.ExchangeError as error:
            self._telemetry.count("datagram.malformed")
            logger.warning("datagram ignored", extra={"reason": str(error)})
            return
        self._apply(message, sender)
        self._on_changed()

    def _apply(self, message: exchange.Message, sender: Address) -> None:
        now = self._task.now()
        if isinstance(message, exchange.EntryLoad):
            self._fleet.apply_peer_load(sender, message, now)
        elif isinstance(message, exchange.AgentState):
            if self._fleet.apply_agent_state(message, now):
                self.schedule_load_update()
        elif isinstance(message, exchange.Rejections):
            for digest, age_s in message.ages_s.items():
                self.returns.on_rejected(digest, now - age_s, now)
        elif isinstance(message, exchange.CrashReport):
            for digest in message.digests:
                self.crashes.blame(digest, now)
