"""Replays of agents that load their engines from one origin, on one manual clock.

The loaders, their transfers and what they know of named versions are those of the
daemon, without sockets. Each has an engine of its own, which takes orders and staged
pieces as they are and remembers of which versions the pieces were.
"""

import hashlib
import itertools
import json
from dataclasses import replace
from urllib.parse import parse_qs, unquote, urlsplit

from manualtask import ManualPool, ManualTask, StoreCall
from sitebuilders import make_profile

from bamboolever.config.model import WeightOrigin
from bamboolever.daemons.loader import EngineLoader
from bamboolever.daemons.loadercontext import LoaderContext
from bamboolever.daemons.namedversions import NamedVersions
from bamboolever.daemons.piecehandler import PieceHandler
from bamboolever.fleet.records import ModelVersion
from bamboolever.fleet.versions import VersionRollouts
from bamboolever.net.addresses import Address
from bamboolever.net.buffers import BufferBudget
from bamboolever.net.messages import ResponseHead
from bamboolever.platform.weights import decode_report_body
from bamboolever.weights.plan import make_piece_policy
from bamboolever.weights.view import Peer

MODEL = "model-1"
LAYER_COUNT = 4
PIECE_COUNT = 4
TIMEOUT_S = 8.0
DELAY_S = 0.002
LOAD_S = 0.3
REPORT_INTERVAL_S = 0.25
ORIGIN = Address("10.9.0.1", 80)


def piece_data(model, version, number):
    return f"{model}:{version}:{number}".encode()


def make_manifest(model, version):
    digests = [
        hashlib.sha256(piece_data(model, version, number)).hexdigest()
        for number in range(PIECE_COUNT)
    ]
    return {"model": model, "version": version, "digests": digests}


class ReplayOrigin:
    """Has the versions up to ``newest`` of each model; answers after ``response_s``.

    ``spoil`` takes the number of a manifest, from 0, and its content, and returns what
    is sent in its place.
    """

    def __init__(self):
        self.newest = {MODEL: 1}
        self.manifest_count = 0
        self.response_s = 0.0
        self.spoil = lambda number, content: content

    def respond(self, path, query):
        kind, _, model = path.removeprefix("/-/").partition("/")
        model = unquote(model)
        newest = self.newest.get(model, 0)
        version = int(query.get("version", [newest])[0])
        if not 1 <= version <= newest:
            return 404, b""
        if kind == "piece":
            return 200, piece_data(model, version, int(query["number"][0]))
        content = self.spoil(self.manifest_count, make_manifest(model, version))
        self.manifest_count += 1
        return 200, json.dumps(content).encode()


class ReplayEngine:
    """An engine that takes orders of ``models``, one at a time.

    ``taken`` are the versions of the pieces that it loaded.
    """

    def __init__(self, task, model, version, models):
        self._task = task
        self.models = models
        self.loaded = None
        self.taken = set()
        self.staged = {}
        self.orders = []
        self.is_busy = False
        self.started_ms = 1
        self._load_count = 0
        if version is not None:
            self.loaded = ModelVersion(model, version)
            self.staged = {
                (model, number): piece_data(model, version, number)
                for number in range(PIECE_COUNT)
            }

    def crash(self, loaded=None):
        """Start again, by default without layers; the staged pieces stay."""
        self.started_ms += 1
        self.load(loaded)

    def load(self, loaded):
        """Hold other layers at once, as if somebody else had ordered that."""
        self._load_count += 1
        self.taken = set()
        self.loaded = loaded
        self.is_busy = False

    def respond(self, path, query, body):
        if path.startswith("/-/order"):
            return self._take_order(json.loads(body)), b""
        call, _, model = path.removeprefix("/-/").partition("/")
        model = unquote(model)
        if call == "stage-put":
            self.staged[model, int(query["number"][0])] = body
            return 200, b""
        if "number" in query:
            data = self.staged.get((model, int(query["number"][0])))
            return (404, b"") if data is None else (200, data)
        held = [number for name, number in self.staged if name == model]
        return 200, json.dumps({"held": held}).encode()

    def report(self):
        models = []
        if self.loaded is not None:
            models = [{"name": self.loaded.model, "version": self.loaded.version}]
        version = self.loaded.version if self.loaded is not None else 0
        return {
            "stage": "both",
            "models": models,
            "layers": {"from": 0, "to": LAYER_COUNT, "version": version},
            "busy": self.is_busy,
            "sequence": len(self.orders),
            "queued": 0,
            "running": 0,
            "born": self.started_ms,
        }

    def _take_order(self, order):
        ordered = ModelVersion(order["model"], order["version"])
        self.orders.append(ordered)
        if ordered == self.loaded:
            return 200
        if self.is_busy or ordered.model not in self.models:
            return 409
        self.is_busy = True
        pieces = [
            self.staged.get((ordered.model, number), b"")
            for number in range(PIECE_COUNT)
        ]
        self.taken = {piece.decode().rpartition(":")[0] for piece in pieces}
        load_count = self._load_count

        def finish():
            if self._load_count == load_count:
                self.loaded = ordered
                self.is_busy = False

        self._task.call_later(LOAD_S, finish)
        return 202


class LoneContext(LoaderContext):
    """The context of an agent without peers, of which nothing is asked."""

    def __init__(self):
        self.task = ManualTask()
        self.pool = ManualPool(self.task)

    def profile(self):
        return make_profile()

    def origin(self):
        return None

    def own_peer(self):
        return Peer(Address("127.0.0.1", 7000), "region-1")

    def peers(self):
        return []

    def can_plan_transfer(self):
        return True

    def region_of(self, availability_zone):
        return "region-1"

    def can_interrupt_requests(self):
        return False

    def refresh_lists(self):
        pass

    def announce_pieces(self, piece_map, addresses):
        pass

    def on_serving_changed(self):
        pass

    def upload_count(self):
        return 0


class ReplayAgent(LoneContext):
    """One agent; it starts ``start_s`` after the replay with ``profile``."""

    def __init__(self, replay, number, engine, profile):
        self.replay = replay
        self.task = replay.task
        self.pool = self
        self.buffers = BufferBudget()
        self.engine = engine
        self.engine_address = Address(f"10.1.0.{number}", 9000)
        self.own = Peer(Address(f"10.1.0.{number}", 7000), "region-1")
        self._profile = profile
        self.models = profile.models
        self.is_running = False

    def start(self):
        """Start a process, which knows nothing of one that ran here before."""
        self.is_running = True
        self.is_configured = False
        self.rollouts = VersionRollouts(TIMEOUT_S)
        policy = make_piece_policy("region-chain")
        self.loader = EngineLoader(
            self, self.engine_address, self.rollouts, 0.0, policy
        )
        self.named = NamedVersions(
            self.rollouts, self.task.now, self.loader.start_rollout
        )
        self.handler = PieceHandler(
            self.task, self.loader.transfer, 0.0, lambda: self.engine.loaded is not None
        )
        self._poll(self.loader)

    def kill(self):
        """End the process at once; the engine goes on."""
        self.is_running = False
        self.loader.stop()

    def configure(self):
        """Let the agent know the configuration."""
        self.is_configured = True
        self.loader.advance()

    def _poll(self, loader):
        if not self.is_running or self.loader is not loader:
            return
        body = json.dumps(self.engine.report()).encode()
        loader.set_report(decode_report_body(body))
        self.task.call_later(REPORT_INTERVAL_S, lambda: self._poll(loader))

    # ConnectionPool.

    def send(self, address, request, handler):
        call = StoreCall(request.target.decode(), handler)
        sender = self.loader

        def deliver(status, _headers=(), body=b""):
            if call.is_cancelled or self.loader is not sender:
                return
            call.is_answered = True
            handler.on_head(ResponseHead(status, ()))
            if body and not call.is_cancelled:
                handler.on_data(body)
            handler.on_end()

        def arrive():
            self.replay.receive(self, address, request, deliver)

        self.task.call_later(DELAY_S, arrive)
        return call

    # LoaderContext.

    def profile(self):
        return self._profile if self.is_configured else None

    def origin(self):
        if not self.is_configured:
            return None
        return WeightOrigin(ORIGIN, "zone-a", 1e6, 8)

    def own_peer(self):
        return self.own

    def peers(self):
        return [
            each.own
            for each in self.replay.agents
            if each is not self and each.models == self.models
        ]

    def announce_pieces(self, piece_map, addresses):
        is_named = self.rollouts.is_known(piece_map.model, piece_map.version)
        self.replay.announce(self.own.address, piece_map, addresses, is_named)


class LoaderReplay:
    """Agents with an engine each, on one clock; none has started yet.

    ``loaded`` are the model of each engine and the version that it holds at the start.
    Each model has a service of its own, unless all belong to one with ``models``; then
    an engine takes any of them.
    """

    def __init__(self, loaded=((MODEL, 1), (MODEL, 1), (MODEL, None)), models=None):
        self.task = ManualTask()
        self.origin = ReplayOrigin()
        self.store = {}
        self._revisions = itertools.count(1)
        self.agents = []
        for number, (model, version) in enumerate(loaded):
            profile = make_profile(
                layers=LAYER_COUNT, models=models or (model,), piece_count=PIECE_COUNT
            )
            engine = ReplayEngine(self.task, model, version, models or (model,))
            self.agents.append(ReplayAgent(self, number, engine, profile))

    def start(self, agents=None, *, configured_s=0.0, listed_s=0.0):
        """Start agents that hear of the configuration and the store so much later."""
        for agent in agents or self.agents:
            agent.start()
            loader = agent.loader
            self._call_for(agent, loader, configured_s, agent.configure)
            self._call_for(
                agent, loader, listed_s, lambda agent=agent: self._list(agent)
            )

    def _call_for(self, agent, loader, delay_s, action):
        def run():
            if agent.is_running and agent.loader is loader:
                action()

        if delay_s <= 0:
            run()
        else:
            self.task.call_later(delay_s, run)

    def name(self, version, model=MODEL, heard_by=None):
        """Name a version in the store, and tell all agents that run, or some."""
        self.origin.newest[model] = max(version, self.origin.newest.get(model, 0))
        written = ModelVersion(model, version)
        self.store[model] = (written, next(self._revisions))
        for agent in heard_by or self.agents:
            if agent.is_running:
                agent.named.on_written(*self.store[model])

    def _list(self, agent):
        for written, revision in self.store.values():
            agent.named.on_written(written, revision)

    def receive(self, sender, address, request, deliver):
        """Pass a request on to the origin, an engine or another agent."""
        url = urlsplit(request.target.decode())
        query = parse_qs(url.query)
        if address == ORIGIN:
            answer = _with_body(self.origin.respond(url.path, query))
            self.task.call_later(self.origin.response_s, lambda: deliver(*answer))
            return
        if address == sender.engine_address:
            answer = sender.engine.respond(url.path, query, request.body)
            deliver(*_with_body(answer))
            return
        agent = next(each for each in self.agents if each.own.address == address)
        if agent.is_running:
            agent.handler.on_request(_Connection(deliver), request)

    def announce(self, sender, piece_map, addresses, is_named):
        """Send a piece map to other agents."""
        sent = replace(piece_map, is_named=is_named)
        for agent in self.agents:
            if agent.own.address in addresses:
                self.task.call_later(
                    DELAY_S, lambda agent=agent: self._take_map(agent, sender, sent)
                )

    def _take_map(self, agent, sender, piece_map):
        if agent.is_running:
            agent.named.on_piece_map(piece_map)
            agent.loader.transfer.apply_piece_map(sender, piece_map)

    def mixed_engines(self):
        """Return the engines that loaded pieces of another version than they say."""
        return [
            agent.engine
            for agent in self.agents
            if agent.engine.taken
            and agent.engine.orders
            and agent.engine.loaded is not None
            and agent.engine.taken
            != {f"{agent.engine.loaded.model}:{agent.engine.loaded.version}"}
        ]

    def loaded_versions(self):
        return [agent.engine.loaded for agent in self.agents]


class _Connection:
    """What a `PieceHandler` uses of the connection of another agent."""

    def __init__(self, deliver):
        self._deliver = deliver
        self._body = b""
        self.is_head_sent = False

    def respond(self, status, headers, body=b""):
        self._deliver(status, headers, body)

    def start(self, status, headers):
        self.is_head_sent = True

    def send(self, data):
        self._body += data

    def finish(self):
        self._deliver(200, (), self._body)


def _with_body(answer):
    status, body = answer
    return status, (), body
