"""Sends and receives an entry's datagrams.

Agents receive hellos and respond with their state. The other entries of the cell,
called peers, receive this entry's load at each upstream, the requests that it rejected
and what its watches of the store returned. Of each neighbor cell, one entry receives
this entry's load there and responds with the cell's summary. Received messages go to
`EntryFleet`, `StoreRelay`, `RejectionHistory`, `CrashReports` and `UpstreamLimits`,
which decide what follows from them.

Load pattern: several entries share the same upstreams, so each must place, queue
and block requests by nearly the same state. Loads and rejections are sent soon after
a change, but at most every `MIN_LOAD_INTERVAL_S`, so that a burst of requests needs
few datagrams. Crash reports are sent at once, and repeated while they matter. The
agents of the cell keep them for entries that start after all others were killed: each
report goes to all of them, each repetition to one in turn.
"""

import logging
from collections.abc import Callable

from bamboolever._task import IoTask
from bamboolever._telemetry import Telemetry
from bamboolever.calls.rejections import RejectionHistory
from bamboolever.daemons.crashreports import CrashReports
from bamboolever.daemons.entryfleet import EntryFleet
from bamboolever.daemons.limitscope import FleetLimitScope
from bamboolever.daemons.snapshots import CONNECT_TIMEOUT_S, MAX_IDLE_S
from bamboolever.daemons.storerelay import StoreRelay
from bamboolever.daemons.upstreamlimits import UpstreamLimits
from bamboolever.fleet import exchange
from bamboolever.fleet.echoes import Echoes, SentTimes
from bamboolever.fleet.messages import (
    AgentState,
    CellSummary,
    CrashReport,
    EntryLoad,
    Hello,
    Message,
    Rejections,
    StoreUpdate,
)
from bamboolever.net.addresses import Address
from bamboolever.net.client import ConnectionPool
from bamboolever.net.datagrams import DatagramSocket
from bamboolever.net.timers import RearmableTimer
from bamboolever.platform import names

logger = logging.getLogger(__name__)

MIN_LOAD_INTERVAL_S = 0.04
# An unchanged load is sent this often, so that the peers know that this entry runs.
LOAD_HEARTBEAT_S = 0.5
HELLO_INTERVAL_S = 1.0
# Interval of the requests for a neighbor cell's summary: while requests are sent
# there or wait here, and otherwise.
MIN_SUMMARY_INTERVAL_S = 0.15
MAX_SUMMARY_INTERVAL_S = 1.0
# A rejection takes at most 20 bytes, so this many fit into a datagram that no link
# fragments.
MAX_REJECTIONS_PER_DATAGRAM = 60
# Malformed datagrams are logged at most this often; all of them are counted.
MALFORMED_LOG_INTERVAL_S = 1.0


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
        configuration_timeout_s: float = 2.0,
    ):
        self._task = task
        self._name = name
        self._fleet = fleet
        self._telemetry = telemetry
        self._on_state_changed = on_state_changed
        self._is_ready = is_ready
        self._socket = DatagramSocket(task, address, self._on_datagram)
        self._load_sent_at = 0.0
        self._summaries_asked_at = 0.0
        self._malformed_logged_at = 0.0
        self._is_load_scheduled = False
        self._hello_count = 0
        self._repeat_count = 0
        self._hello_times = SentTimes()
        self._agent_echoes = Echoes()
        self._unsent_rejections: dict[int, float] = {}
        self.store_relay = StoreRelay(
            task.now,
            address,
            fleet,
            names.CONFIGURATION_KIND,
            self._send,
            configuration_timeout_s,
            ConnectionPool(
                task, connect_timeout_s=CONNECT_TIMEOUT_S, max_idle_s=MAX_IDLE_S
            ),
        )
        self.rejection_history = RejectionHistory()
        self.crashes = CrashReports(
            task.now, telemetry, self._send_crashes, self._send_crashes_again
        )
        self.limits = UpstreamLimits(
            task.now,
            telemetry,
            FleetLimitScope(fleet),
            self._send,
            self._send_to_all_entries,
            RearmableTimer(task).arm,
            self._report_change_later,
            name=name,
            started_ms=fleet.started_ms,
        )

    def start(self) -> None:
        """Start to receive datagrams and to send hellos and loads periodically."""
        self._socket.start()
        self._send_hello_periodically()
        self._send_load_heartbeat()

    def send_hello_to_agents(self) -> None:
        """Send a hello to the agents of the cell, and to some of each neighbor cell.

        They respond with their state. The hello tells them the newest versions.
        """
        fleet = self._fleet
        self._hello_count += 1
        self._send_hello(fleet.own_cell, fleet.agent_addresses())
        for cell in fleet.neighbors:
            agents = fleet.neighbor_agent_addresses(cell, self._hello_count)
            self._send_hello(cell, agents)

    def send_hello(self, addresses: list[Address]) -> None:
        """Send a hello to some agents of the cell."""
        self._send_hello(self._fleet.own_cell, addresses)

    def _send_hello(self, agent_cell: str, addresses: list[Address]) -> None:
        fleet, now = self._fleet, self._task.now()
        rollouts = fleet.version_rollouts.known_rollouts(now)
        sequence = self._hello_times.next_sequence(now)
        for address in addresses:
            echo = self._agent_echoes.echo_to(address, now)
            hello = Hello(
                self._name, fleet.own_cell, agent_cell, rollouts, sequence, echo
            )
            self._send(hello, address)

    def on_cell_changed(self) -> None:
        """Tell the agents of the new cell and the former peers of this entry's cell."""
        self.send_hello_to_agents()
        self.schedule_load_update()

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

    def _send_hello_periodically(self) -> None:
        self.send_hello_to_agents()
        self._task.call_later(HELLO_INTERVAL_S, self._send_hello_periodically)

    def _send_load_heartbeat(self) -> None:
        now = self._task.now()
        self._fleet.expire_peers(now)
        self._fleet.note_awake(now)
        self._fleet.log_cold_periods(self._telemetry)
        self._fleet.log_evacuations(self._telemetry)
        if now - self._load_sent_at >= LOAD_HEARTBEAT_S:
            self._send_load()
        if now - self._summaries_asked_at >= MAX_SUMMARY_INTERVAL_S:
            self._ask_for_summaries()
        self.crashes.repeat()
        self.limits.repeat()
        self._task.call_later(LOAD_HEARTBEAT_S, self._send_load_heartbeat)

    def _send_load(self) -> None:
        self._is_load_scheduled = False
        now = self._task.now()
        self._load_sent_at = now
        report = self._fleet.build_load_report(
            is_ready=self._is_ready(),
            store_era=self.store_relay.era,
            store_revisions=self.store_relay.changed_revisions(),
            has_lost_store=self.store_relay.has_lost_store,
        )
        self._send_to_peers(report)
        is_busy = self._fleet.needs_neighbors(now)
        if is_busy and now - self._summaries_asked_at >= MIN_SUMMARY_INTERVAL_S:
            self._ask_for_summaries()
        if self._unsent_rejections:
            rejected = list(self._unsent_rejections.items())
            self._unsent_rejections = {}
            for start in range(0, len(rejected), MAX_REJECTIONS_PER_DATAGRAM):
                batch = rejected[start : start + MAX_REJECTIONS_PER_DATAGRAM]
                ages_s = {digest: now - first_at for digest, first_at in batch}
                self._send_to_peers(Rejections(ages_s))

    def _ask_for_summaries(self) -> None:
        now = self._task.now()
        self._summaries_asked_at = now
        for cell, neighbor in self._fleet.neighbors.items():
            reporter = neighbor.choose_reporter(now)
            if reporter is None:
                continue
            neighbor.on_asked(reporter, now)
            report = self._fleet.build_guest_report(cell, is_ready=self._is_ready())
            self._send(report, reporter)

    def _send(self, message: Message, address: Address) -> None:
        self._socket.send(exchange.encode(message), address)

    def _send_to_peers(self, message: Message) -> None:
        addresses = self._fleet.peers.recipients()
        if not addresses:
            return
        if isinstance(message, EntryLoad):
            self.store_relay.on_load_sent(message.sequence, self._task.now())
        data = exchange.encode(message)
        for address in addresses:
            self._socket.send(data, address)

    def _report_change_later(self) -> None:
        # A relay that learns of a limit is in the middle of a callback.
        self._task.call_later(0.0, self._on_state_changed)

    def _send_crashes(self, report: CrashReport) -> None:
        self._send_to_all_entries(report)
        if report.trials or report.ended_trials:
            # A trial ends with its entry: no agent needs to know of it.
            return
        for address in self._fleet.agent_addresses():
            self._send(report, address)

    def _send_crashes_again(self, report: CrashReport) -> None:
        self._send_to_all_entries(report)
        agents = self._fleet.agent_addresses()
        if agents:
            self._repeat_count += 1
            self._send(report, agents[self._repeat_count % len(agents)])

    def _send_to_all_entries(self, message: Message) -> None:
        self._send_to_peers(message)
        now = self._task.now()
        for neighbor in self._fleet.neighbors.values():
            for address in neighbor.entries(now):
                self._send(message, address)

    def _on_datagram(self, data: bytes, sender: Address) -> None:
        try:
            message = exchange.decode(data)
        except exchange.ExchangeError as error:
            self._on_malformed(sender, error)
            return
        self._apply(message, sender)
        self._on_state_changed()

    def _on_malformed(self, sender: Address, error: exchange.ExchangeError) -> None:
        self._telemetry.count("datagram.malformed")
        now = self._task.now()
        if now - self._malformed_logged_at < MALFORMED_LOG_INTERVAL_S:
            return
        self._malformed_logged_at = now
        logger.warning(
            "datagram ignored", extra={"reason": str(error), "sender": str(sender)}
        )

    def _apply(self, message: Message, sender: Address) -> None:
        now = self._task.now()
        if isinstance(message, EntryLoad):
            self._fleet.apply_peer_load(sender, message, now)
            if message.has_lost_store:
                self._fleet.upstreams.on_peer_outage(sender, now)
            self.store_relay.on_peer_load(sender, message)
            if message.summary_cell == self._fleet.own_cell:
                self._send(self._fleet.build_summary(sender, now), sender)
        elif isinstance(message, AgentState):
            self._agent_echoes.on_received(sender, message.sequence, now)
            said_after = self._hello_times.said_after(message.echo)
            if self._fleet.apply_agent_state(message, now, said_after):
                self.schedule_load_update()
            ended = self._fleet.find_ended(message)
            if ended is not None and ended.is_ending:
                self.crashes.on_upstream_left(ended.key)
            elif ended is not None:
                self.crashes.on_upstream_ended(ended.key, "agent")
        elif isinstance(message, CellSummary):
            self._fleet.apply_summary(message, now)
        elif isinstance(message, StoreUpdate):
            self.store_relay.on_update(message, sender, now)
        elif isinstance(message, Rejections):
            for digest, age_s in message.ages_s.items():
                self.rejection_history.on_rejected(digest, now - age_s, now)
        elif isinstance(message, CrashReport):
            self.crashes.apply(message)
        else:
            self.limits.apply(message, sender)
