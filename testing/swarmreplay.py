"""Replays of the transfer of a version by many agents, on one manual clock.

Links have a rate and carry one piece at a time; datagrams arrive after a fixed delay.
The agents are those of the daemon, without sockets and engines.
"""

import hashlib
from dataclasses import dataclass, field
from urllib.parse import parse_qs, urlsplit

from manualtask import ManualConnection, ManualTask

from bamboolever.config.model import WeightOrigin
from bamboolever.daemons.swarm import SwarmMember
from bamboolever.net.addresses import Address
from bamboolever.net.buffers import BufferBudget
from bamboolever.net.messages import ResponseHead
from bamboolever.platform.weights import PieceDigests
from bamboolever.weights.groups import group_number
from bamboolever.weights.pieces import PieceSet
from bamboolever.weights.plan import make_piece_policy
from bamboolever.weights.view import Peer, SwarmView

PIECE_COUNT = 96
PIECE_BITS = 24576 * 8
# Seconds that one piece takes on the link of an agent, and on that of the origin.
LINK_PIECE_S = PIECE_BITS / 3.65e6
ORIGIN_PIECE_S = PIECE_BITS / 4.38e6
DELAY_S = 0.002
STAGING_S = 0.002
ORIGIN = Address("10.99.0.1", 80)
REGIONS = ("region-o", "region-p", "region-q")
PIECES = [f"piece {number}".encode() for number in range(PIECE_COUNT)]
MANIFEST = PieceDigests(
    "m", 3, tuple(hashlib.sha256(piece).digest() for piece in PIECES)
)


@dataclass
class _Link:
    piece_s: float
    free_at: float = 0.0

    def take(self, now):
        self.free_at = max(now, self.free_at) + self.piece_s
        return self.free_at


class _Staging:
    def __init__(self, task):
        self._task = task

    def put(self, model, number, data, on_done):
        self._task.call_later(STAGING_S, lambda: on_done(True))


@dataclass
class _Pool:
    """Sends the pieces that one agent asks for."""

    replay: "SwarmReplay"
    own: Address
    buffers: BufferBudget = field(default_factory=BufferBudget)

    @property
    def task(self):
        return self.replay.task

    def send(self, address, request, handler):
        url = urlsplit(request.target.decode())
        last = url.path.rpartition("/")[2]
        number = int(parse_qs(url.query).get("number", [last])[0])
        self.replay.send_piece(address, self.own, number, handler)
        return ManualConnection()


class SwarmReplay:
    """``starts_s`` are the seconds after which each agent starts, by region."""

    def __init__(self, starts_s):
        self.task = ManualTask()
        self.started_at = self.task.now()
        self.uplinks = {ORIGIN: _Link(ORIGIN_PIECE_S)}
        self.downlinks = {}
        self.members = {}
        self.uploads = {}
        self.completed_s = {}
        self.origin_pieces = 0
        peers = [
            Peer(address, region, group_number(str(address), len(starts)))
            for number, (region, starts) in enumerate(
                zip(REGIONS, starts_s, strict=True)
            )
            for address in (
                Address(f"10.{number}.0.{i}", 7000) for i in range(len(starts))
            )
        ]
        self.agent_count = len(peers)
        all_starts = [start for starts in starts_s for start in starts]
        for peer, start_s in zip(peers, all_starts, strict=True):
            self.uplinks[peer.address] = _Link(LINK_PIECE_S)
            self.downlinks[peer.address] = _Link(LINK_PIECE_S)
            self.uploads[peer.address] = 0
            self.task.call_later(start_s, lambda own=peer: self._start(own, peers))

    def run(self, limit_s=40.0):
        """Advance until all are complete; return the seconds that took."""
        while len(self.completed_s) < self.agent_count:
            elapsed_s = self.task.now() - self.started_at
            if elapsed_s >= limit_s:
                return elapsed_s
            self.task.advance(0.05)
        return max(self.completed_s.values())

    def advance_to(self, elapsed_s):
        self.task.advance(self.started_at + elapsed_s - self.task.now())

    def count_active_agents(self):
        """Return how many agents each one counts as active."""
        now = self.task.now()
        return [
            len(member.view.active_members(now)) for member in self.members.values()
        ]

    @property
    def origin_copies(self):
        return self.origin_pieces / PIECE_COUNT

    def send_piece(self, source, receiver, number, handler):
        if source == ORIGIN:
            self.origin_pieces += 1
        else:
            self.uploads[source] += 1
        now = self.task.now()
        sent_at = self.uplinks[source].take(now)
        received_at = max(sent_at, self.downlinks[receiver].take(now)) + DELAY_S

        def deliver():
            if source != ORIGIN:
                self.uploads[source] -= 1
            handler.on_head(ResponseHead(200, ()))
            handler.on_data(PIECES[number])
            handler.on_end()

        self.task.call_later(received_at - now, deliver)

    def _start(self, own, peers):
        view = SwarmView(
            own=own,
            peers=[peer for peer in peers if peer is not own],
            origin_region=REGIONS[0],
            pieces=PieceSet(MANIFEST),
            started_at=self.task.now(),
        )
        member = SwarmMember(
            self.task,
            _Pool(self, own.address),
            _Staging(self.task),
            lambda: WeightOrigin(ORIGIN, "zone-o", 4.38e6 / 8, 48),
            make_piece_policy("region-chain"),
            view,
            lambda piece_map, to: self._announce(own.address, piece_map, to),
            lambda: self._on_complete(own.address),
            lambda: self.uploads[own.address],
            lambda: None,
        )
        self.members[own.address] = member
        member.start()

    def _on_complete(self, address):
        self.completed_s.setdefault(address, self.task.now() - self.started_at)

    def _announce(self, sender, piece_map, recipients):
        # They come from a set, whose order differs between runs.
        for recipient in sorted(recipients):
            self.task.call_later(
                DELAY_S,
                lambda to=recipient: self._deliver_map(sender, to, piece_map),
            )

    def _deliver_map(self, sender, recipient, piece_map):
        member = self.members.get(recipient)
        if member is None:
            return
        member.apply_piece_map(sender, piece_map)
        if piece_map.is_reply_wanted:
            self._announce(recipient, member.make_piece_map(), [sender])
