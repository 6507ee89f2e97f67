"""Replays the transfer of a version: real swarm members over simulated links.

Each agent is a `SwarmMember` with its piece policy, on one clock without sockets. The
origin sends all pieces that are asked for at equal shares of its link and may be down.
An agent sends one piece after another below its link's rate; what it receives queues
at the end of its link, and piece maps queue behind pieces. Every read from the origin
is recorded with its outcome and the reason why it was not the only one.
"""

import collections
import hashlib
import random
from dataclasses import dataclass

from manualtask import ManualTask

from bamboolever.config.model import WeightOrigin
from bamboolever.daemons.piecehandler import PIECE_LINK_SHARE, SLICE_BYTES
from bamboolever.daemons.swarm import SwarmMember
from bamboolever.fleet.messages import PieceMap
from bamboolever.net.addresses import Address
from bamboolever.net.exchange import ExchangeFailure, FailureKind
from bamboolever.net.messages import ResponseHead
from bamboolever.platform.weights import PieceDigests
from bamboolever.weights import plan
from bamboolever.weights.groups import (
    Group,
    group_number,
    import_source,
    select_importer,
)
from bamboolever.weights.pieces import PieceSet, full_bitmap
from bamboolever.weights.plan import make_piece_policy
from bamboolever.weights.view import Peer, SwarmView, starts_late

PIECE_COUNT = 96
PIECE_BYTES = 24576
ORIGIN_BYTES_PER_S = 4.38e6 / 8
LINK_BYTES_PER_S = 3.65e6 / 8
REGION_LINK_BYTES_PER_S = 12e6 / 8
LATENCY_S = 0.002
STAGING_S = 0.004
# When a lost opening packet of a connection is sent again, after the first.
SYN_RETRIES_S = (0.0, 1.0, 3.0)
ORIGIN = Address("10.99.0.1", 9000)
ORIGIN_CONFIG = WeightOrigin(ORIGIN, "zone-o", ORIGIN_BYTES_PER_S, 16)
HEAD = ResponseHead(200, ())
PIECES = tuple(number.to_bytes(2, "big") * (PIECE_BYTES // 2) for number in range(96))
MANIFEST = PieceDigests(
    "m", 2, tuple(hashlib.sha256(piece).digest() for piece in PIECES)
)
FULL = full_bitmap(PIECE_COUNT)


@dataclass(eq=False)
class Exchange:
    """One request for a piece; it is the connection that a `Fetch` cancels."""

    source: "ReplayOrigin | ReplayAgent"
    reader: "ReplayAgent"
    number: int
    handler: object
    is_urgent: bool
    sent_bytes: int = 0
    received_bytes: int = 0
    is_open: bool = True

    def cancel(self):
        self.is_open = False
        self.source.on_cancelled(self)


@dataclass(eq=False)
class OriginRead:
    """A read of one piece from the origin; ``outcome`` is "done" or why it was lost."""

    number: int
    reader: Address
    begun_at: float
    cause: str
    sent_bytes: int = 0
    outcome: str = "open"


class ReplayOrigin:
    """Sends slices of all open reads in turn; ``down`` are pairs of times."""

    def __init__(self, replay, down, *, is_silent):
        self.replay = replay
        self.down = down
        self.is_silent = is_silent
        self.open = collections.deque()
        self.reads = {}
        self.concurrency = []
        self.is_sending = False
        for start, _ in down:
            replay.at(start, self._cut)

    def is_up(self):
        now = self.replay.now()
        return not any(start <= now < end for start, end in self.down)

    def accept(self, exchange):
        read = OriginRead(
            exchange.number,
            exchange.reader.address,
            self.replay.now(),
            self.replay.cause(exchange.reader, exchange.number),
        )
        self.reads[exchange] = read
        if self.is_silent:
            for delay_s in SYN_RETRIES_S:
                self.replay.task.call_later(delay_s, lambda: self._connect(exchange))
        elif self.is_up():
            self._connect(exchange)
        else:
            self.replay.task.call_later(LATENCY_S, lambda: self._refuse(exchange))

    def _connect(self, exchange):
        if not exchange.is_open or not self.is_up() or exchange in self.open:
            return
        if exchange.sent_bytes:
            return
        self.open.append(exchange)
        self.concurrency.append(len(self.open))
        if not self.is_sending:
            self.is_sending = True
            self._send_slice()

    def _refuse(self, exchange):
        if exchange.is_open:
            exchange.is_open = False
            self.reads[exchange].outcome = "refused"
            failure = ExchangeFailure(FailureKind.CONNECT, False, "down")
            exchange.handler.on_failure(failure)

    def _cut(self):
        cut, self.open = list(self.open), collections.deque()
        for exchange in cut:
            self.reads[exchange].outcome = "cut by the outage"
            if not self.is_silent:
                exchange.is_open = False
                failure = ExchangeFailure(FailureKind.CLOSED, True, "cut")
                exchange.handler.on_failure(failure)

    def on_cancelled(self, exchange):
        read = self.reads[exchange]
        if read.outcome == "open":
            read.outcome = "given up by the reader"
        if exchange in self.open:
            self.open.remove(exchange)

    def _send_slice(self):
        if not self.open:
            self.is_sending = False
            return
        exchange = self.open.popleft()
        size = min(SLICE_BYTES, PIECE_BYTES - exchange.sent_bytes)
        exchange.sent_bytes += size
        self.reads[exchange].sent_bytes += size
        self.replay.deliver(exchange, size)
        if exchange.sent_bytes < PIECE_BYTES:
            self.open.append(exchange)
        else:
            self.reads[exchange].outcome = "done"
        self.replay.task.call_later(size / ORIGIN_BYTES_PER_S, self._send_slice)


class ReplayAgent:
    """An agent: its swarm member once it started, its uplink and its downlink."""

    def __init__(self, replay, peer, *, holds_all=False):
        self.replay = replay
        self.peer = peer
        self.address = peer.address
        self.holds_all = holds_all
        self.is_alive = True
        self.member = None
        self.uploads = []
        self.is_sending = False
        self.downlink_free_at = 0.0
        self.completed_at = None

    @property
    def bitmap(self):
        if self.holds_all:
            return FULL
        return self.member.view.pieces.verified if self.member is not None else 0

    def start(self, *, named_at=None):
        """Start the transfer, of a version that this agent saw named or joins late."""
        replay = self.replay
        if not self.is_alive or self.member is not None:
            return
        now = replay.task.now()
        peers = [each.peer for each in replay.listed if each is not self]
        view = SwarmView(
            self.peer, peers, replay.origin_region, PieceSet(MANIFEST), now
        )
        view.is_late = starts_late(named_at, now)
        self.member = SwarmMember(
            replay.task,
            replay.pool_of(self),
            replay.staging,
            lambda: ORIGIN_CONFIG,
            make_piece_policy(replay.policy),
            view,
            lambda message, to: replay.send_map(self, message, to),
            self._on_complete,
            lambda: len(self.uploads),
            lambda: None,
        )
        self.member.start()

    def stop(self):
        """Die: nothing is sent, received or planned any more."""
        self.is_alive = False
        if self.member is not None:
            self.member.stop()
        for exchange in self.uploads:
            if exchange.is_open:
                exchange.is_open = False
                failure = ExchangeFailure(FailureKind.CLOSED, True, "dead")
                exchange.handler.on_failure(failure)
        self.uploads.clear()

    def _on_complete(self):
        if self.completed_at is None:
            self.completed_at = self.replay.now()

    def on_map(self, sender, message):
        if not self.is_alive:
            return
        if self.holds_all:
            if message.is_reply_wanted:
                reply = PieceMap("m", 2, FULL, False, len(self.uploads), True)
                self.replay.send_map(self, reply, [sender])
        elif self.member is not None:
            self.member.apply_piece_map(sender, message)
            if message.is_reply_wanted:
                reply = self.member.make_piece_map()
                self.replay.send_map(self, reply, [sender])

    def accept(self, exchange):
        if not self.is_alive or not self.bitmap >> exchange.number & 1:
            exchange.is_open = False
            failure = ExchangeFailure(FailureKind.CONNECT, False, "no piece")
            self.replay.task.call_later(
                LATENCY_S, lambda: exchange.handler.on_failure(failure)
            )
            return
        position = len(self.uploads)
        while exchange.is_urgent and position > 0:
            previous = self.uploads[position - 1]
            if previous.is_urgent or previous.sent_bytes:
                break
            position -= 1
        self.uploads.insert(position, exchange)
        if not self.is_sending:
            self.is_sending = True
            self._send_slice()

    def on_cancelled(self, exchange):
        if exchange in self.uploads:
            self.uploads.remove(exchange)

    def _send_slice(self):
        if not self.uploads:
            self.is_sending = False
            return
        exchange = self.uploads[0]
        size = min(SLICE_BYTES, PIECE_BYTES - exchange.sent_bytes)
        exchange.sent_bytes += size
        self.replay.deliver(exchange, size)
        if exchange.sent_bytes >= PIECE_BYTES:
            self.uploads.pop(0)
        delay_s = size / (LINK_BYTES_PER_S * PIECE_LINK_SHARE)
        self.replay.task.call_later(delay_s, self._send_slice)


class Replay:
    """A fleet, its links and its origin; times are seconds since the rollout.

    ``per_region`` are the agents of each region. The origin is in ``origin_region``, or
    in a region without agents. Every map is late by ``map_delay_s``, besides the queue
    before it.
    """

    def __init__(
        self,
        per_region,
        *,
        down=(),
        is_silent=False,
        origin_region="region-0",
        map_delay_s=0.0,
        policy="region-chain",
        seed=1,
    ):
        self.task = ManualTask()
        self._zero = self.task.now()
        self.random = random.Random(seed)
        self.policy = policy
        self.origin_region = origin_region
        self.map_delay_s = map_delay_s
        self.staging = self
        self.agents = {}
        self.listed = []
        self.sizes = per_region
        self.region_link_free_at = collections.Counter()
        self.copies_into = collections.Counter()
        self.origin = ReplayOrigin(self, down, is_silent=is_silent)
        for region, count in enumerate(per_region):
            for index in range(count):
                self.add_agent(region, index)

    def now(self):
        return self.task.now() - self._zero

    def at(self, time_s, action):
        self.task.call_later(time_s - self.now(), action)

    def add_agent(self, region, index, *, holds_all=False):
        address = Address(f"10.{region}.0.{index + 1}", 7000)
        group = group_number(str(address), self.sizes[region])
        agent = ReplayAgent(
            self, Peer(address, f"region-{region}", group), holds_all=holds_all
        )
        self.agents[address] = agent
        self.listed.append(agent)
        for other in self.agents.values():
            if other is not agent and other.member is not None:
                peers = [each.peer for each in self.listed if each is not other]
                other.member.set_peers(other.peer, peers)
        return agent

    def start_all(self, *, within_s=0.25):
        """Let every agent that lacks the pieces see the version at a random time."""
        for agent in self.listed:
            if not agent.holds_all:
                seen_at = self.random.uniform(0.02, within_s)
                self.at(seen_at, lambda agent=agent: agent.start(named_at=self._zero))

    def run(self, limit_s=40.0):
        """Run until every agent that is alive has all pieces, or to the limit."""
        while self.now() < limit_s and not self.is_done():
            self.task.advance(0.05)
        return self.now()

    def is_done(self):
        return all(
            agent.completed_at is not None
            for agent in self.listed
            if agent.is_alive and not agent.holds_all
        )

    # What SwarmMember uses.

    def pool_of(self, agent):
        return AgentPool(self, agent)

    def put(self, model, number, data, on_done):
        self.task.call_later(STAGING_S, lambda: on_done(True))

    def send_map(self, sender, message, addresses):
        for address in addresses:
            agent = self.agents[address]
            queue_s = max(0.0, agent.downlink_free_at - self.now())
            delay_s = LATENCY_S + self.map_delay_s + queue_s

            def arrive(agent=agent):
                agent.on_map(sender.address, message)

            self.task.call_later(delay_s, arrive)

    # Links.

    def deliver(self, exchange, size):
        reader = exchange.reader
        arrives_at = self.now() + LATENCY_S
        source = exchange.source
        if isinstance(source, ReplayAgent):
            pair = source.peer.region, reader.peer.region
            if pair[0] != pair[1]:
                free_at = max(self.now(), self.region_link_free_at[pair])
                free_at += size / REGION_LINK_BYTES_PER_S
                self.region_link_free_at[pair] = free_at
                arrives_at = free_at + LATENCY_S
                self.copies_into[reader.peer.region] += size / PIECE_BYTES / PIECE_COUNT
        reader.downlink_free_at = (
            max(arrives_at, reader.downlink_free_at) + size / LINK_BYTES_PER_S
        )
        self.at(reader.downlink_free_at, lambda: self._arrive(exchange, size))

    def _arrive(self, exchange, size):
        if not exchange.is_open or not exchange.reader.is_alive:
            return
        if not exchange.received_bytes:
            exchange.handler.on_head(HEAD)
        start = exchange.received_bytes
        exchange.received_bytes += size
        end = exchange.received_bytes
        exchange.handler.on_data(PIECES[exchange.number][start:end])
        if end >= PIECE_BYTES and exchange.is_open:
            exchange.is_open = False
            exchange.handler.on_end()

    # What is measured.

    def cause(self, reader, number):
        """Return why a read begins that is not the only one of its piece."""
        view = reader.member.view
        others = [each for each in self.agents.values() if each is not reader]
        is_held = any(each.is_alive and each.bitmap >> number & 1 for each in others)
        is_read = any(
            read.number == number and exchange.is_open
            for exchange, read in self.origin.reads.items()
        )
        if not is_held and not is_read:
            return "needed"
        what = "held" if is_held else "being read"
        age_s = self.task.now() - view.started_at
        if age_s < 0.3:
            return f"{what}; reader has just started"
        alive = [each.peer for each in self.listed if each.is_alive and each.member]
        own = Group.of(reader.peer)
        local = [str(peer.address) for peer in alive if Group.of(peer) == own]
        groups = tuple(sorted({Group.of(peer) for peer in alive}))
        is_in_turn = select_importer(number, tuple(sorted(local))) == str(
            reader.address
        )
        if age_s > plan.ORIGIN_FALLBACK_S:
            return f"{what}; reader fell back to the origin"
        if not is_in_turn:
            return f"{what}; agent in turn believed dead"
        if import_source(number, own, groups, self.origin_region) is not None:
            return f"{what}; group in turn believed dead"
        return f"{what}; map not yet heard"

    def origin_copies(self):
        sent = sum(read.sent_bytes for read in self.origin.reads.values())
        return sent / PIECE_BYTES / PIECE_COUNT

    def excess(self):
        """Return the copies that the origin sent in excess, by cause."""
        causes = collections.Counter()
        done = set()
        for read in self.origin.reads.values():
            copies = read.sent_bytes / PIECE_BYTES / PIECE_COUNT
            if read.outcome != "done":
                causes[read.outcome] += copies
            elif read.number in done:
                causes[read.cause] += copies
            done.add(read.number) if read.outcome == "done" else None
        return {cause: round(share, 3) for cause, share in causes.items() if share}

    def completions(self):
        """Return when the first, half and the last of the agents had all pieces."""
        times = sorted(a.completed_at for a in self.listed if a.completed_at)
        if not times:
            return None
        return tuple(round(times[i], 2) for i in (0, len(times) // 2, -1))

    def link_floor_s(self):
        """Return how long one copy takes over an agent's link, in seconds."""
        return PIECE_COUNT * PIECE_BYTES / LINK_BYTES_PER_S

    def floor_s(self, start_s=0.02):
        """Return when the origin could have sent each piece once, in seconds."""
        now, left_s = start_s, PIECE_COUNT * PIECE_BYTES / ORIGIN_BYTES_PER_S
        for start, end in self.origin.down:
            usable_s = max(0.0, start - now)
            if usable_s >= left_s:
                break
            left_s -= usable_s
            now = end
        return now + left_s


class AgentPool:
    """The connection pool of one agent."""

    def __init__(self, replay, agent):
        self.replay = replay
        self.agent = agent
        self.task = replay.task

    def send(self, address, request, handler):
        target = request.target.decode()
        if address == ORIGIN:
            number = int(target.partition("number=")[2].partition("&")[0])
            source = self.replay.origin
        else:
            number = int(target.removesuffix("?urgent").rpartition("/")[2])
            source = self.replay.agents[address]
        is_urgent = target.endswith("?urgent")
        exchange = Exchange(source, self.agent, number, handler, is_urgent)
        self.replay.task.call_later(LATENCY_S, lambda: self._reach(exchange))
        return exchange

    def _reach(self, exchange):
        if exchange.is_open:
            exchange.source.accept(exchange)
