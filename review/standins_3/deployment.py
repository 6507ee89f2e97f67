"""Stand-ins and processes for the scripts of this review.

The store is the project's own stand-in. The origin of weights and the model workers are
small ones that follow the platform's page, and record what they were sent and did.
"""

import hashlib
import http.client
import http.server
import itertools
import json
import os
import random
import re
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time
import urllib.parse
from pathlib import Path

from bamboolever.net.addresses import Address
from bamboolever.platform.standins.store import StandInStore

ROOT = Path(__file__).resolve().parents[2]
HELD, BROKEN, COULD_NOT_RUN = 0, 1, 2
API_KEY = "jnbanfqasnmgkcuyj8pj"
TENANT = "bozi300"
HOST = "jepu9.example"
PIECE_COUNT = 96
PIECE_BYTES = 2048
LAYER_COUNT = 16
METRICS_PORT = 9464
ZONES = {"cape-a": "cape", "gauteng-a": "gauteng", "kzn-a": "kzn"}
ENTRY_COMMAND = "-m bamboolever.daemons entry --metrics-port 9464"
AGENT_COMMAND = "-m bamboolever.daemons agent --metrics-port 9464"


class Record:
    """The file ``record.txt``: a line for each thing sent, answered or run.

    With ``is_brief``, requests that were served are left out, and only counted.
    """

    def __init__(self, folder):
        self.is_brief = False
        self.left_out = 0
        self._file = (Path(folder) / "record.txt").open("w")
        self._started_at = time.monotonic()
        self._lock = threading.Lock()

    def now(self):
        """Return the seconds since the record began."""
        return time.monotonic() - self._started_at

    def write(self, text):
        """Append a line with the time in seconds."""
        with self._lock:
            self._file.write(f"{self.now():8.3f} {text}\n")
            self._file.flush()

    def write_routine(self, text):
        """Append a line, or count it if the record is brief."""
        if self.is_brief:
            self.left_out += 1
        else:
            self.write(text)


def pick_subnet():
    """Return the first three numbers of a loopback network that seems unused."""
    for _ in range(200):
        subnet = f"127.{random.randint(20, 250)}.{random.randint(1, 250)}"
        with socket.socket() as sock:
            try:
                sock.bind((f"{subnet}.1", METRICS_PORT))
            except OSError:
                continue
        return subnet
    raise OSError("no loopback network is free")


def find_port(hosts):
    """Return a port that is free on all of ``hosts``, with the one after it."""
    for port in random.sample(range(20000, 31000, 2), 500):
        try:
            for host, each in itertools.product(hosts, (port, port + 1)):
                with socket.socket() as sock:
                    sock.bind((host, each))
        except OSError:
            continue
        return port
    raise OSError("no free port")


def piece_data(model, version, number):
    """Return the true bytes of a piece of a version."""
    seed = f"{model}:{version}:{number}:".encode()
    return (seed * (PIECE_BYTES // len(seed) + 1))[:PIECE_BYTES]


class _Handler(http.server.BaseHTTPRequestHandler):
    protocol_version = "HTTP/1.1"
    disable_nagle_algorithm = True

    def handle_one_request(self):
        try:
            super().handle_one_request()
        except (ConnectionError, TimeoutError):
            self.close_connection = True

    def do(self):
        length = int(self.headers.get("Content-Length") or 0)
        body = self.rfile.read(length)
        self.server.owner.respond(self, self.command, self.path, body)

    do_GET = do_POST = do_PUT = do  # noqa: N815

    def answer(self, status, body=b"", headers=()):
        self.send_response(status)
        for name, value in headers:
            self.send_header(name, value)
        self.send_header("Content-Length", str(len(body)))
        self.end_headers()
        self.wfile.write(body)

    def log_message(self, *_arguments):
        pass


class _Server(http.server.ThreadingHTTPServer):
    daemon_threads = True
    allow_reuse_address = True
    request_queue_size = 128


class StandIn:
    """An HTTP server on threads of its own."""

    def __init__(self, host, port):
        self.address = f"{host}:{port}"
        self._server = _Server((host, port), _Handler)
        self._server.owner = self
        threading.Thread(target=self._server.serve_forever, daemon=True).start()

    def close(self):
        """Stop listening."""
        self._server.shutdown()
        self._server.server_close()


class Origin(StandIn):
    """The origin of weights: versions 1 to ``newest`` of each model.

    ``spoil`` takes a manifest's bytes and returns those that are sent.
    """

    def __init__(self, host, port, record, newest):
        self._record = record
        self.newest = dict(newest)
        self.spoil = None
        super().__init__(host, port)

    def respond(self, handler, method, target, _body):
        """Answer a request for a manifest or a piece."""
        url = urllib.parse.urlsplit(target)
        query = dict(urllib.parse.parse_qsl(url.query))
        kind, _, model = url.path.removeprefix("/-/").partition("/")
        model = urllib.parse.unquote(model)
        newest = self.newest.get(model)
        if method != "GET" or newest is None or kind not in ("manifest", "piece"):
            self._record.write(f"origin {target} -> 404")
            handler.answer(404)
            return
        version = int(query.get("version", newest))
        if version > newest or version < 1:
            self._record.write(f"origin {target} -> 404")
            handler.answer(404)
        elif version <= newest - 2:
            self._record.write(f"origin {target} -> 410")
            handler.answer(410)
        elif kind == "piece":
            handler.answer(200, piece_data(model, version, int(query["number"])))
        else:
            body = self._make_manifest(model, version)
            sent = self.spoil(body) if self.spoil is not None else body
            changed = [n for n in range(len(body)) if body[n] != sent[n]]
            self._record.write(f"origin {target} -> 200, spoilt bytes {changed}")
            handler.answer(200, sent, [("Content-Type", "application/json")])

    def _make_manifest(self, model, version):
        digests = [
            hashlib.sha256(piece_data(model, version, number)).hexdigest()
            for number in range(PIECE_COUNT)
        ]
        content = {
            "model": model,
            "version": version,
            "chunkBytes": PIECE_BYTES,
            "layers": LAYER_COUNT,
            "digests": digests,
        }
        return json.dumps(content, separators=(",", ":")).encode()


class Worker(StandIn):
    """A model worker of one ``model``; ``version`` None holds no weights yet.

    ``tokens`` lists the version that the worker states for each answered request, and
    the versions of which the pieces were when its layers were taken.
    """

    def __init__(self, host, port, record, name, model, version, service):
        self._record = record
        self.name = name
        self.model = model
        self.service = service
        self.zone = "cape-a"
        self.loaded = None
        self.taken = frozenset()
        self.staged = {}
        self.sequence = 0
        self.busy = False
        self.tokens = []
        self.is_registered = True
        self.born = int(time.time() * 1000)
        self.heartbeat = 0
        self._lock = threading.RLock()
        if version is not None:
            self.loaded = (model, version)
            self.taken = frozenset({(model, version)})
            self.staged = {
                (model, number): piece_data(model, version, number)
                for number in range(PIECE_COUNT)
            }
        super().__init__(host, port)

    def list_models(self):
        """Return the models as the list of workers and the report show them."""
        if self.loaded is None:
            return []
        model, version = self.loaded
        return [{"name": model, "version": version, "adapters": []}]

    def layers(self):
        """Return the loaded layers."""
        version = self.loaded[1] if self.loaded else 0
        return {
            "from": 0,
            "to": LAYER_COUNT if self.loaded else 0,
            "version": version,
        }

    def document(self):
        """Return the worker's entry in the store, with the next sequence."""
        with self._lock:
            self.heartbeat += 1
            return {
                "service": self.service,
                "address": self.address,
                "zone": self.zone,
                "version": "v1",
                "slots": 16,
                "state": "ready",
                "coldRemainingMs": 0,
                "stage": "both",
                "models": self.list_models(),
                "layers": self.layers(),
                "born": self.born,
                "sequence": self.heartbeat,
            }

    def respond(self, handler, method, target, body):
        """Answer a call, or a request of the agent on the worker's machine."""
        url = urllib.parse.urlsplit(target)
        query = dict(urllib.parse.parse_qsl(url.query))
        if url.path == "/-/report":
            handler.answer(200, json.dumps(self._report()).encode())
        elif url.path == "/-/order":
            self._take_order(handler, json.loads(body))
        elif url.path.startswith("/-/stage-put/"):
            model = urllib.parse.unquote(url.path.removeprefix("/-/stage-put/"))
            with self._lock:
                self.staged[model, int(query["number"])] = body
            handler.answer(200)
        elif url.path.startswith("/-/stage-get/"):
            model = urllib.parse.unquote(url.path.removeprefix("/-/stage-get/"))
            self._show_staged(handler, model, query.get("number"))
        elif method == "POST":
            self._answer_call(handler)
        else:
            handler.answer(404)

    def _report(self):
        with self._lock:
            return {
                "stage": "both",
                "models": self.list_models(),
                "layers": self.layers(),
                "busy": self.busy,
                "sequence": self.sequence,
                "queued": 0,
                "running": 0,
                "kvUsed": 0,
                "kvCapacity": 685000 * LAYER_COUNT,
                "kvHandles": 0,
                "pace": 1.0,
                "born": self.born,
            }

    def _show_staged(self, handler, model, number):
        with self._lock:
            held = sorted(n for name, n in self.staged if name == model)
            data = self.staged.get((model, int(number))) if number else None
        if number is None:
            handler.answer(200, json.dumps({"held": held}).encode())
        else:
            handler.answer(404 if data is None else 200, data or b"")

    def _take_order(self, handler, order):
        with self._lock:
            wanted = (order.get("model"), order.get("version"))
            if order.get("operation") != "start":
                status = 400
            elif self.loaded == wanted:
                status = 200
            elif self.busy or order["model"] != self.model:
                status = 409
            else:
                status = 202
                self.busy = True
                self.sequence += 1
                taken = self._find_taken(order["model"])
                threading.Timer(0.3, self._finish, (wanted, taken)).start()
        self._record.write(
            f"worker {self.name} order {json.dumps(order)} -> {status}"
            + (f", pieces of {sorted(taken)}" if status == 202 else "")
        )
        handler.answer(status)

    def _find_taken(self, model):
        """Return the versions of the pieces that lie here; None for one not sound."""
        found = set()
        for number in range(PIECE_COUNT):
            data = self.staged.get((model, number), b"")
            name, _, rest = data.partition(b":")
            version = rest.partition(b":")[0].decode("latin-1")
            is_sound = version.isdigit() and data == piece_data(
                name.decode("latin-1"), int(version), number
            )
            found.add((name.decode(), int(version)) if is_sound else ("?", 0))
        return frozenset(found)

    def _finish(self, wanted, taken):
        with self._lock:
            self.loaded, self.taken, self.busy = wanted, taken, False

    def _answer_call(self, handler):
        headers = handler.headers
        attempt = headers.get("Bamboolever-Attempt-Id", "")
        expected = headers.get("Bamboolever-Expected-Instance")
        echo = [("Bamboolever-Attempt-Id", attempt)]
        with self._lock:
            loaded, taken, busy = self.loaded, self.taken, self.busy
        if expected not in (None, self.name):
            handler.answer(421, b"", [("Bamboolever-Instance-Id", self.name)])
            return
        if loaded is None or loaded[0] != headers.get("Bamboolever-Model"):
            handler.answer(421, b"", [("At-Server", self.address), *echo])
            return
        if busy:
            not_executed = ("Bamboolever-Not-Executed", "1")
            handler.answer(503, b"", [not_executed, *echo])
            return
        self.tokens.append((loaded, taken))
        self._record.write(
            f"worker {self.name} runs {attempt}: on {loaded}, taken from"
            f" {sorted(taken)}"
        )
        events = b"".join(b"id: %d\ndata: token\n\n" % n for n in range(1, 6))
        headers = [
            *echo,
            ("Bamboolever-Response-Signature", f"{self.name}.{attempt}"),
            ("Bamboolever-Weight-Versions", str(loaded[1])),
            ("Content-Type", "text/event-stream"),
        ]
        handler.answer(200, events, headers)


class PlainWorker(StandIn):
    """A worker of a plain service; it works on each request for ``work_s`` seconds.

    ``arrivals`` has the time of each request that reached it, in seconds of
    `time.monotonic`, ``unanswered`` the ids of those it had begun when it exited.
    """

    def __init__(self, host, port, record, name, service, work_s):
        self._record = record
        self.name = name
        self.service = service
        self.zone = "cape-a"
        self.born = int(time.time() * 1000)
        self.heartbeat = 0
        self.is_registered = True
        self.arrivals = []
        self.unanswered = []
        self._work_s = work_s
        self._has_exited = False
        super().__init__(host, port)

    def document(self):
        """Return the worker's entry in the store, with the next sequence."""
        self.heartbeat += 1
        return {
            "service": self.service,
            "address": self.address,
            "zone": self.zone,
            "version": "v1",
            "slots": 6,
            "state": "ready",
            "coldRemainingMs": 0,
            "born": self.born,
            "sequence": self.heartbeat,
        }

    def respond(self, handler, _method, _target, _body):
        """Answer a call after its work, unless the worker exits before."""
        attempt = handler.headers.get("Bamboolever-Attempt-Id", "")
        self.arrivals.append((time.monotonic(), attempt))
        self._record.write_routine(f"worker {self.name} runs {attempt}")
        time.sleep(self._work_s)
        if self._has_exited:
            self.unanswered.append(attempt)
            self._record.write(f"worker {self.name} has exited: {attempt} unanswered")
            handler.close_connection = True
            return
        headers = [
            ("Bamboolever-Attempt-Id", attempt),
            ("Bamboolever-Response-Signature", f"{self.name}.{attempt}"),
        ]
        handler.answer(200, b"done", headers)

    def exit(self):
        """End the worker: it listens no more, and answers nothing any more."""
        self._has_exited = True
        self._record.write(f"worker {self.name} exits")
        self.close()


class StoreProxy:
    """The way of one machine to the store, which can be cut and healed."""

    def __init__(self, host, port, store_address):
        self.address = f"{host}:{port}"
        self._store_address = tuple(store_address)
        self._listener = socket.create_server((host, port), backlog=64)
        self._pairs = []
        self._is_cut = False
        self._is_closed = False
        self.call_count = 0
        threading.Thread(target=self._accept, daemon=True).start()

    def _accept(self):
        while not self._is_closed:
            try:
                near, _ = self._listener.accept()
            except OSError:
                return
            if self._is_cut:
                _reset(near)
                continue
            far = socket.create_connection(self._store_address)
            self._pairs.append((near, far))
            for source, target, is_call in ((near, far, True), (far, near, False)):
                arguments = (source, target, is_call)
                threading.Thread(target=self._copy, args=arguments, daemon=True).start()

    def _copy(self, source, target, is_call):
        try:
            while data := source.recv(65536):
                self.call_count += is_call
                target.sendall(data)
        except OSError:
            pass
        for sock in (source, target):
            try:
                sock.shutdown(socket.SHUT_RDWR)
            except OSError:
                pass

    def cut(self):
        """Reset all connections, and each new one, until `heal`."""
        self._is_cut = True
        pairs, self._pairs = self._pairs, []
        for near, far in pairs:
            _reset(near)
            _reset(far)

    def heal(self):
        """Let connections pass again."""
        self._is_cut = False

    def close(self):
        """Stop listening and end all connections."""
        self._is_closed = True
        self._listener.close()
        self.cut()


def _reset(sock):
    try:
        sock.setsockopt(
            socket.SOL_SOCKET, socket.SO_LINGER, b"\x01\x00\x00\x00" + bytes(4)
        )
        sock.shutdown(socket.SHUT_RD)
    except OSError:
        pass
    sock.close()


class Deployment:
    """A small deployment: the store, stand-ins, and the project's own processes."""

    def __init__(self, folder, host_count):
        self.record = Record(folder)
        self.folder = Path(tempfile.mkdtemp(prefix="bamboolever-review-"))
        subnet = pick_subnet()
        self.hosts = [f"{subnet}.{number}" for number in range(1, host_count + 1)]
        self.internal_port = find_port(self.hosts)
        self.store = StandInStore(Address("127.0.0.1", 0))
        self.store.start()
        self.workers = []
        self.processes = {}
        self._settings = {}
        self._is_closed = False
        self._attempts = itertools.count(1)
        threading.Thread(target=self._beat, daemon=True).start()

    def _beat(self):
        while not self._is_closed:
            for worker in [each for each in self.workers if each.is_registered]:
                self.store.put("servers", worker.name, worker.document())
            time.sleep(1.2)

    def add_worker(self, worker):
        """Register a worker, which writes to the store from now on."""
        self.workers.append(worker)
        self.store.put("servers", worker.name, worker.document())

    def put_configuration(self, routes, services, version=1, keys=(API_KEY,)):
        """Write the configuration; ``keys`` are those of the only tenant."""
        document = {
            "version": version,
            "routes": routes,
            "services": services,
            "limits": {
                "maxHeaderBytes": 16384,
                "maxBodyBytes": 4194304,
                "headerTimeoutMs": 3000,
                "idleTimeoutMs": 15000,
            },
            "tenants": [{"name": TENANT, "apiKeys": list(keys), "priority": 1}],
        }
        self.store.put("config", "main", document)

    def make_settings(self, name, host, machine_class, worker=None, **listen):
        """Return the settings of a process, as the platform writes them."""
        zone = "cape-a"
        document = {
            "nodeName": name,
            "role": "entry" if worker is None else "agent",
            "machineClass": machine_class,
            "serves": [machine_class],
            "ipAddress": host,
            "zone": zone,
            "region": ZONES[zone],
            "zones": ZONES,
            "listenAddresses": listen,
            "internalPortRange": [self.internal_port, self.internal_port + 1],
            "seedNodes": [],
            "firstStart": True,
            "countsTowardTolerance": False,
            "limits": {
                "cpuShare": 0.817,
                "cpuCores": 1,
                "memoryMb": 300 if worker is None else 168,
                "fileDescriptors": 4100 if worker is None else 1124,
                "linkMbps": 1000.0,
                "diskMb": 0,
            },
            "dataDirectory": None,
            "discovery": "platform",
            "entry": "virtual_ip",
            "heartbeatIntervalMs": 1200,
            "contracts": ["base", "drain", "config", "retry", "recover", "engine"],
            "faultTolerance": {"machines": 2, "zones": 0, "regions": 0},
            "bounds": {
                "seedLagS": 3,
                "addressReuseS": 2,
                "stabilityWindowMs": 3000,
                "ackTimeoutMs": 4000,
                "catchUpS": 4,
                "drainTimeoutMs": 2000,
                "gracePeriodS": 8,
                "lossSlackMs": 200,
                "configurationApplyMs": 2000,
                "downgradeSlackMs": 250,
                "outerBoundMs": 5000,
                "failClosed": True,
                "revocationMs": 5000,
                "retryBudgetRatio": 0.2,
                "budgetWindowS": 10,
                "retryBudgetSlack": 104,
                "recoveryS": 12,
                "passMs": 120,
                "retryAfterS": 0,
                "version_ms": 8000,
                "version_all_ms": 0,
            },
            "platformSettings": {
                "address": str(self.store.address),
                "form": "objects",
                "writesPerS": 400,
                "readsPerS": 2000,
                "historyRetentionS": 20,
                "maxValueBytes": 1048576,
                "minTtlMs": 1000,
            },
        }
        if worker is not None:
            document["app"] = worker.address
            document["service"] = worker.service
        return document

    def start_entry(self, name, host, store_address=None):
        """Start an entry; its addresses are found by `address`."""
        port = find_port([host])
        listen = {"frontend": f"{host}:{port}", "ready": f"{host}:{port + 1}"}
        self._settings[name] = self.make_settings(name, host, "frontend", **listen)
        if store_address is not None:
            platform = self._settings[name]["platformSettings"]
            platform["address"] = store_address
        self.start(name)

    def start_agent(self, name, host, worker):
        """Start the agent beside a worker."""
        self._settings[name] = self.make_settings(name, host, "side", worker)
        self.start(name)

    def start(self, name):
        """Start a process with the settings that it had before, or has now."""
        settings = self._settings[name]
        path = self.folder / f"{name}.json"
        path.write_text(json.dumps(settings))
        command = ENTRY_COMMAND if settings["role"] == "entry" else AGENT_COMMAND
        environment = {
            key: os.environ[key]
            for key in ("PATH", "HOME", "LANG")
            if key in os.environ
        }
        environment["PYTHONPATH"] = str(ROOT / "target" / "deps")
        environment["BAMBOOLEVER_NODE_FILE"] = str(path)
        with (self.folder / f"{name}.log").open("ab") as log:
            self.processes[name] = subprocess.Popen(
                [sys.executable, *command.split()],
                cwd=ROOT,
                env=environment,
                stdout=log,
                stderr=subprocess.STDOUT,
            )
        self.record.write(f"process {name} starts")

    def send_signal(self, name, number):
        """Send a signal to a process."""
        self.record.write(f"process {name} gets {signal.Signals(number).name}")
        self.processes[name].send_signal(number)

    def address(self, name, which="frontend"):
        """Return the host and port of an entry."""
        host, port = self._settings[name]["listenAddresses"][which].split(":")
        return host, int(port)

    def is_ready(self, name):
        """Return whether an entry says that it is ready."""
        try:
            connection = http.client.HTTPConnection(
                *self.address(name, "ready"), timeout=1
            )
            connection.request("GET", "/-/readiness")
            return connection.getresponse().status == 200
        except OSError:
            return False

    def await_ready(self, name, timeout_s=20.0):
        """Wait until an entry is ready; raises `TimeoutError`."""
        deadline = time.monotonic() + timeout_s
        while not self.is_ready(name):
            if time.monotonic() > deadline:
                raise TimeoutError(f"{name} is not ready")
            time.sleep(0.1)

    def call(self, entry, path, *, method="POST", body=b"body", timeout_s=6.0, **more):
        """Send one request on a new connection.

        Returns the status, the headers and the body; status None without an answer.
        """
        attempt = f"{next(self._attempts):016x}"
        headers = {
            "Host": HOST,
            "Bamboolever-Attempt-Id": attempt,
            "Bamboolever-Deadline-Remaining": str(int(timeout_s * 1000)),
            "Authorization": f"Token {API_KEY}",
            **{name.replace("_", "-"): value for name, value in more.items()},
        }
        status, answer, received = None, {}, b""
        try:
            connection = http.client.HTTPConnection(
                *self.address(entry), timeout=timeout_s + 1
            )
            connection.request(method, path, body, headers)
            response = connection.getresponse()
            received = response.read()
            status, answer = response.status, dict(response.getheaders())
        except (OSError, http.client.HTTPException) as error:
            received = repr(error).encode()
        write = self.record.write_routine if status == 200 else self.record.write
        write(
            f"client {attempt} {method} {path} -> {status} {dict(answer)}"
            f" {received[:60]!r}"
        )
        return status, answer, received

    def call_model(self, entry, path, model):
        """Send one request for a stream of a model."""
        return self.call(
            entry,
            path,
            Bamboolever_Model=model,
            Bamboolever_Token_Counts="100,10",
            Bamboolever_Prompt_Prefix="5c1e07a2:40,91bd3f06:60",
        )

    def close(self):
        """End all processes and stand-ins; keep the logs' warnings in the record."""
        self._is_closed = True
        for process in self.processes.values():
            if process.poll() is None:
                process.kill()
            process.wait()
        if self.record.is_brief:
            self.record.write(f"{self.record.left_out} lines of served requests")
        routine = ('"call placed"', '"call ended"')
        if self.record.is_brief:
            routine += ('"settings reloaded"',)
        for log in sorted(self.folder.glob("*.log")):
            for line in log.read_text(errors="replace").splitlines():
                if not any(each in line for each in routine):
                    self.record.write(f"log {log.stem}: {_shorten(line)}")
        for worker in self.workers:
            worker.close()
        self.store.stop()
        shutil.rmtree(self.folder, ignore_errors=True)


def _shorten(line):
    """Return a line of a log without what the record does not need."""
    try:
        content = json.loads(line)
    except ValueError:
        return re.sub(r"/[^\s\"']*/", "", line)[:200]
    left_out = ("levelname", "name", "taskName")
    return json.dumps({k: v for k, v in content.items() if k not in left_out})[:260]


def plain_route(prefix, kind, service):
    """Return a route to a plain service, as the bench writes them."""
    return {
        "name": prefix.strip("/"),
        "host": HOST,
        "pathPrefix": prefix,
        "kind": kind,
        "timeoutMs": 800,
        "targetLatencyMs": 407,
        "priority": 2,
        "service": service,
        "maxAttempts": 1 if kind == "non_idempotent" else 2,
        "allowAnonymous": False,
    }


def model_route(prefix, service):
    """Return a streaming route to a model service, as the bench writes them."""
    return {
        "name": prefix.strip("/"),
        "host": HOST,
        "pathPrefix": prefix,
        "kind": "streaming",
        "timeoutMs": 6000,
        "targetLatencyMs": 406,
        "targetGapMs": 300,
        "priority": 1,
        "service": service,
        "maxAttempts": 2,
        "allowAnonymous": False,
        "stickySessions": True,
        "resumeStreams": True,
    }


def model_service(name, model):
    """Return a service of model workers, as the bench writes them."""
    return {
        "name": name,
        "healthCheckPath": "/health",
        "maxConnections": 434,
        "engine": {
            "slots": 16,
            "stride": 6,
            "step_ms": 7.4,
            "per_seq_ms": 0.0387,
            "context_per_k": 0.0203,
            "read_per_s": 31900.0,
            "pairs_per_m": 0.733,
            "chunk": 2048,
            "usual": {"prompt": 921.0, "answer": 105.0},
            "report_lag_ms": 200.0,
            "layers": LAYER_COUNT,
            "chunks": PIECE_COUNT,
            "chunkBytes": PIECE_BYTES,
            "models": [{"name": model, "warmUpS": 0.3}],
        },
    }


def origin_service(origin):
    """Return the service of the origin of weights."""
    return {
        "name": "studio-admin",
        "maxConnections": 48,
        "origin": origin.address,
        "zone": "cape-a",
        "linkMbps": 7.3,
    }


def is_troubled():
    """Return whether the disruption is wanted: not with ``TROUBLE=0``."""
    return os.environ.get("TROUBLE", "1") != "0"
