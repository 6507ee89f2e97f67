"""Sends and receives an entry's datagrams.

Agents receive hellos and respond with their state. The other entries, called peers,
receive this entry's load at each upstream, the requests that it rejected and those
that it suspects of crashing an upstream. Received messages go to `EntryFleet`,
`RejectionHistory` and `CrashTracker`, which decide what follows from them.

Load pattern: several entries share the same upstreams, so each must place, queue
and block requests by nearly the same state. Loads and rejections are sent soon after
a change, but at most every `MIN_LOAD_INTERVAL_S`, so that a burst of requests needs
few datagrams. Crash reports are sent at once.
"""

import logging
from collections.abc import Callable

from bamboolever._task import IoTask
from bamboolever._telemetry import Telemetry
from bamboolever.calls.poison import CrashTracker
from bamboolever.calls.rejections import RejectionHistory
from bamboolever.daemons.entryfleet import EntryFleet
from bamboolever.fleet import exchange
from bamboolever.net.addresses import Address
from bamboolever.net.datagrams import DatagramSocket

logger = logging.getLogger(__name__)

MIN_LOAD_INTERVAL_S = 0.04
# An unchanged load is sent this often, so that the peers know that this entry runs.
LOAD_HEARTBEAT_S = 0.5
HELLO_INTERVAL_S = 1.0
# A rejection takes at most 20 bytes, so this many fit into a datagram that no link
# fragments.
MAX_REJECTIONS_PER_DATAGRAM = 60


class EntryExchange:
    """An entry's datagrams, and the rejections and crashes that all entries share.

    ``on_state_changed`` is called after each valid datagram. ``is_ready`` returns
    whether this entry is ready. Methods are called on the task's thread.
    """

    def __init__(
        self,
        task: IoTask,
        name: str,
        address: Address,
        fleet: EntryFleet,
        telemetry: Telemetry,
        on_state_changed: Callable[[], None],
        is_ready: Callable[[], bool],
    ):
        self._task = task
        self._name = name
        self._fleet = fleet
        self._telemetry = telemetry
        self._on_state_changed = on_state_changed
        self._is_ready = is_ready
        self._socket = DatagramSocket(task, address, self._on_datagram)
        self._load_sent_at = 0.0
        self._is_load_scheduled = False
        self._unsent_rejections: dict[int, float] = {}
        self.rejection_history = RejectionHistory()
        self.crash_tracker = CrashTracker()

    def start(self) -> None:
        """Start to receive datagrams and to send hellos and loads periodically."""
        self._socket.start()
        self._send_hello_periodically()
        self._send_load_heartbeat()

    def send_hello_to_agents(self) -> None:
        """Send a hello to each agent, which responds with its state."""
        data = exchange.encode(exchange.Hello(self._name))
        for address in self._fleet.agent_addresses():
            self._socket.send(data, address)

    def schedule_load_update(self) -> None:
        """Send this entry's load to the peers once `MIN_LOAD_INTERVAL_S` has passed."""
        if self._is_load_scheduled:
            return
        self._is_load_scheduled = True
        wait_s = self._load_sent_at + MIN_LOAD_INTERVAL_S - self._task.now()
        self._task.call_later(max(0.0, wait_s), self._send_load)

    def record_rejection(self, digest: int, first_at: float) -> None:
        """Record a rejected request, and send it to the peers with the next load.

        ``digest`` identifies the request; ``first_at`` is when its caller first
        sent it, in seconds of the task's clock.
        """
        self.rejection_history.on_rejected(digest, first_at, self._task.now())
        self._unsent_rejections[digest] = first_at
        self.schedule_load_update()

    def send_crash_report(self, digests: list[int]) -> None:
        """Send the peers the digests of requests suspected of crashing an upstream."""
        self._send_to_peers(exchange.CrashReport(tuple(digests)))

    def _send_hello_periodically(self) -> None:
        self.send_hello_to_agents()
        self._task.call_later(HELLO_INTERVAL_S, self._send_hello_periodically)

    def _send_load_heartbeat(self) -> None:
        if self._task.now() - self._load_sent_at >= LOAD_HEARTBEAT_S:
            self._send_load()
        self._task.call_later(LOAD_HEARTBEAT_S, self._send_load_heartbeat)

    def _send_load(self) -> None:
        self._is_load_scheduled = False
        now = self._task.now()
        self._load_sent_at = now
        self._send_to_peers(self._fleet.build_load_report(is_ready=self._is_ready()))
        if self._unsent_rejections:
            rejected = list(self._unsent_rejections.items())
            self._unsent_rejections = {}
            for start in range(0, len(rejected), MAX_REJECTIONS_PER_DATAGRAM):
                batch = rejected[start : start + MAX_REJECTIONS_PER_DATAGRAM]
                ages_s = {digest: now - first_at for digest, first_at in batch}
                self._send_to_peers(exchange.Rejections(ages_s))

    def _send_to_peers(self, message: exchange.Message) -> None:
        addresses = self._fleet.peers.recipients(self._task.now())
        if not addresses:
            return
        data = exchange.encode(message)
        for address in addresses:
            self._socket.send(data, address)

    def _on_datagram(self, data: bytes, sender: Address) -> None:
        try:
            message = exchange.decode(data)
        except exchange.ExchangeError as error:
            self._telemetry.count("datagram.malformed")
            logger.warning("datagram ignored", extra={"reason": str(error)})
            return
        self._apply(message, sender)
        self._on_state_changed()

    def _apply(self, message: exchange.Message, sender: Address) -> None:
        now = self._task.now()
        if isinstance(message, exchange.EntryLoad):
            self._fleet.apply_peer_load(sender, message, now)
        elif isinstance(message, exchange.AgentState):
            if self._fleet.apply_agent_state(message, now):
                self.schedule_load_update()
        elif isinstance(message, exchange.Rejections):
            for digest, age_s in message.ages_s.items():
                self.rejection_history.on_rejected(digest, now - age_s, now)
        elif isinstance(message, exchange.CrashReport):
            for digest in message.digests:
                self.crash_tracker.on_crash(digest, now)
