"""Stand-ins on loopback addresses for the cases: store, workers, requesters, programs.

They speak what PROTOCOL.md says and nothing else of the project is imported. Times are
seconds of the monotonic clock.
"""

import json
import os
import random
import signal
import socket
import subprocess
import tempfile
import threading
import time
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer
from pathlib import Path
from urllib.parse import parse_qs, unquote, urlsplit

ROOT = Path(__file__).resolve().parents[2]
HELD, BROKEN, COULD_NOT_RUN = 0, 1, 2
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
MODEL = "daka510000"


class CannotRun(Exception):
    """Raised when a case could not be set up; it then proves nothing."""


def free_host():
    """Return a loopback address where the deploy file's metrics port is free."""
    for _ in range(50):
        host = f"127.{random.randint(20, 220)}.{random.randint(1, 250)}.10"
        with socket.socket() as sock:
            try:
                sock.bind((host, 9464))
            except OSError:
                continue
        return host
    raise CannotRun("no loopback address is free")


class Record:
    """Writes what was sent, answered and run, one line each, to ``record.txt``."""

    def __init__(self, folder):
        self._started_at = time.monotonic()
        self._lock = threading.Lock()
        self._file = (Path(folder) / "record.txt").open("w")

    def add(self, text):
        """Write one line with the seconds since the start."""
        with self._lock:
            passed_s = time.monotonic() - self._started_at
            self._file.write(f"{passed_s:8.3f} {text}\n")
            self._file.flush()


class _Server(ThreadingHTTPServer):
    daemon_threads = True
    request_queue_size = 256

    def handle_error(self, request, client_address):
        """Ignore connections that the other side closed."""


def _address_of(server):
    host, port = server.server_address
    return f"{host}:{port}"


def _serve(handler, host):
    server = _Server((host, 0), handler)
    threading.Thread(target=server.serve_forever, args=(0.05,), daemon=True).start()
    return server


class Store:
    """The platform's store: lists, watches, and writes by the operator and workers."""

    def __init__(self, host, record):
        self._changed = threading.Condition()
        self._record = record
        self._objects = {}
        self._events = []
        self._revision = 100
        self._is_cut = False
        store = self

        class Handler(BaseHTTPRequestHandler):
            protocol_version = "HTTP/1.1"

            def do_GET(self):
                store.answer(self)

            def log_message(self, *args):
                pass

        self._server = _serve(Handler, host)
        self.address = _address_of(self._server)

    def put(self, kind, name, value, *, note=None):
        """Write an object, and return the time of the acknowledgement."""
        with self._changed:
            self._revision += 1
            entry = {
                "metadata": {
                    "name": name,
                    "revision": self._revision,
                    "created": 1,
                    "finalizers": [],
                },
                "specification": value,
                "status": {},
            }
            self._objects.setdefault(kind, {})[name] = entry
            self._events.append((self._revision, kind, entry))
            self._changed.notify_all()
        self._record.add(f"store: {kind}/{name} acknowledged{note or ''}")
        return time.monotonic()

    def cut(self):
        """Answer nothing from now on, as behind a silent partition from the store."""
        self._is_cut = True
        self._record.add("partition: the machine no longer reaches the store")

    def answer(self, handler):
        """Answer a list or a watch."""
        if self._is_cut:
            handler.close_connection = True
            time.sleep(60)
            return
        parts = urlsplit(handler.path)
        query = {key: values[0] for key, values in parse_qs(parts.query).items()}
        kind = unquote(parts.path.removeprefix("/-/objects/"))
        if "watch" not in query:
            with self._changed:
                items = sorted(
                    self._objects.get(kind, {}).values(),
                    key=lambda each: each["metadata"]["name"],
                )
                items = [
                    each
                    for each in items
                    if each["metadata"]["name"] > query.get("after", "")
                ]
                body = {"items": items, "hasMore": False, "at": self._revision}
            send(handler, 200, body)
            return
        since, wait_s = int(query["watch"]), float(query.get("waitMs", 0)) / 1000
        ends_at = time.monotonic() + wait_s
        with self._changed:
            while not (events := self._since(kind, since)):
                left_s = ends_at - time.monotonic()
                if left_s <= 0:
                    break
                self._changed.wait(left_s)
            body = {"events": events, "at": self._revision}
        if self._is_cut:
            handler.close_connection = True
            time.sleep(60)
            return
        send(handler, 200, body)

    def _since(self, kind, revision):
        return [
            {"object": entry, "deleted": False}
            for changed, its_kind, entry in self._events
            if its_kind == kind and changed > revision
        ]


def send(handler, status, body):
    """Send a JSON answer."""
    data = json.dumps(body).encode()
    handler.send_response(status)
    handler.send_header("Content-Type", "application/json")
    handler.send_header("Content-Length", str(len(data)))
    handler.end_headers()
    handler.wfile.write(data)


class Worker:
    """A sound worker of a plain service, unless ``answer`` says otherwise.

    ``answer`` receives the handler, the body and the headers that each answer has. It
    returns whether the request has run, and is called before anything is answered.
    """

    def __init__(self, host, record, instance_id, answer=None):
        self.instance_id = instance_id
        self.run = []
        self._record = record
        self._answer = answer or answer_soundly
        self._lock = threading.Lock()
        worker = self

        class Handler(BaseHTTPRequestHandler):
            protocol_version = "HTTP/1.1"
            wbufsize = -1

            def do_GET(self):
                worker.handle(self)

            do_POST = do_GET  # noqa: N815 (named by http.server)

            def log_message(self, *args):
                pass

        self._server = _serve(Handler, host)
        self.address = _address_of(self._server)

    def entry(self, service, zone, **changes):
        """Return the worker's entry in the store."""
        return {
            "service": service,
            "address": self.address,
            "zone": zone,
            "version": "v1",
            "slots": 6,
            "state": "ready",
            "coldRemainingMs": 0,
            "sequence": 4,
            "born": int(time.time() * 1000) - 60000,
            **changes,
        }

    def note_run(self, attempt, detail=""):
        """Record that a request has run."""
        with self._lock:
            self.run.append(attempt)
        self._record.add(f"worker {self.instance_id}: RUN {attempt} {detail}")

    def handle(self, handler):
        """Answer one request."""
        body = handler.rfile.read(int(handler.headers.get("Content-Length", 0)))
        if handler.path == "/health":
            handler.send_response(200)
            handler.send_header("Bamboolever-Instance-Id", self.instance_id)
            handler.send_header("Content-Length", "0")
            handler.end_headers()
            return
        expected = handler.headers.get("Bamboolever-Expected-Instance")
        if expected not in (None, self.instance_id):
            handler.send_response(421)
            handler.send_header("Bamboolever-Instance-Id", self.instance_id)
            handler.send_header("Content-Length", "0")
            handler.end_headers()
            return
        self._answer(self, handler, body)


def proof_headers(handler):
    """Return the headers that each answer of a worker that has run a request has."""
    attempt = handler.headers.get("Bamboolever-Attempt-Id", "")
    return {
        "Bamboolever-Attempt-Id": attempt,
        "Bamboolever-Response-Signature": f"3e1b.07.{attempt}",
    }


def answer_soundly(worker, handler, body):
    """Run the request and answer it with success."""
    attempt = handler.headers.get("Bamboolever-Attempt-Id", "")
    tenant = handler.headers.get("Bamboolever-Tenant", "-")
    worker.note_run(attempt, f"{handler.command} {handler.path} tenant={tenant}")
    reply(handler, 200, b"answer to " + attempt.encode(), proof_headers(handler))


def reply(handler, status, body, headers):
    """Send a complete answer with a length."""
    handler.send_response(status)
    for name, value in headers.items():
        handler.send_header(name, value)
    handler.send_header("Content-Length", str(len(body)))
    handler.end_headers()
    handler.wfile.write(body)
    handler.wfile.flush()


def route(name, prefix, kind, service, **changes):
    """Return a route of the configuration."""
    return {
        "name": name,
        "host": "calls.example",
        "pathPrefix": prefix,
        "kind": kind,
        "timeoutMs": 6000,
        "targetLatencyMs": 400,
        "priority": 1,
        "service": service,
        "maxAttempts": 1 if kind == "non_idempotent" else 2,
        "allowAnonymous": False,
        **changes,
    }


def configuration(version, routes, services, tenants):
    """Return a configuration."""
    return {
        "version": version,
        "routes": routes,
        "services": services,
        "limits": {
            "maxHeaderBytes": 16384,
            "maxBodyBytes": 4194304,
            "headerTimeoutMs": 3000,
            "idleTimeoutMs": 15000,
        },
        "tenants": tenants,
    }


def plain_service(name):
    """Return a service of the configuration."""
    return {"name": name, "healthCheckPath": "/health", "maxConnections": 110}


def engine_service(name):
    """Return a service of model workers, as in the deployment's example."""
    return {
        **plain_service(name),
        "maxConnections": 434,
        "engine": {
            "slots": 16,
            "kvCacheTokens": 685000,
            "stride": 6,
            "models": [{"name": MODEL, "pace": 1.0, "loadTimeS": 4.0, "warmUpS": 0.3}],
            "sizeMb": 297000.0,
            "step_ms": 7.4,
            "per_seq_ms": 0.0387,
            "context_per_k": 0.0203,
            "read_per_s": 31900.0,
            "pairs_per_m": 0.733,
            "chunk": 2048,
            "report_lag_ms": 200.0,
            "usual": {"prompt": 973, "answer": 106},
            "layers": 16,
            "layer_mb": 4540.0,
            "chunks": 96,
            "chunkBytes": 24576,
        },
    }


def free_port(host):
    """Return a port of ``host`` that is free now."""
    with socket.socket() as sock:
        sock.bind((host, 0))
        return sock.getsockname()[1]


def settings(store_address, host, *, role="entry"):
    """Return the settings of a ``frontend`` machine of the small deployment."""
    port = free_port(host)
    return {
        "nodeName": f"frontend-cape-a-{host.split('.')[2]}",
        "role": role,
        "machineClass": "frontend",
        "serves": ["frontend"],
        "ipAddress": host,
        "zone": "cape-a",
        "region": "cape",
        "zones": {"cape-a": "cape", "gauteng-a": "gauteng", "kzn-a": "kzn"},
        "listenAddresses": {
            "frontend": f"{host}:{port}",
            "ready": f"{host}:{free_port(host)}",
        },
        "internalPortRange": [7700, 7715],
        "seedNodes": [],
        "firstStart": True,
        "countsTowardTolerance": False,
        "limits": {
            "cpuShare": 0.817,
            "cpuCores": 1,
            "memoryMb": 300,
            "fileDescriptors": 4100,
            "linkMbps": 1000.0,
            "diskMb": 0,
        },
        "dataDirectory": None,
        "discovery": "platform",
        "entry": "virtual_ip",
        "heartbeatIntervalMs": 1200,
        "contracts": ["base", "drain", "config", "cost", "retry", "recover"],
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
            "address": store_address,
            "form": "objects",
            "writesPerS": 400,
            "readsPerS": 2000,
            "historyRetentionS": 20,
            "maxValueBytes": 1048576,
            "minTtlMs": 1000,
        },
    }


class Program:
    """A program of the deploy file as a process of its own; ``close`` ends it."""

    def __init__(self, role, document, folder):
        path = Path(folder) / f"{document['nodeName']}.json"
        path.write_text(json.dumps(document))
        self.log_path = path.with_suffix(".log")
        self._log = self.log_path.open("wb")
        self.document = document
        environment = {
            name: os.environ[name]
            for name in ("PATH", "HOME", "LANG")
            if name in os.environ
        }
        environment["PYTHONPATH"] = str(ROOT / "target" / "deps")
        environment["BAMBOOLEVER_NODE_FILE"] = str(path)
        command = f"python3 -m bamboolever.daemons {role} --metrics-port 9464"
        self._popen = subprocess.Popen(
            command.split(),
            cwd=ROOT,
            env=environment,
            stdout=self._log,
            stderr=subprocess.STDOUT,
            stdin=subprocess.DEVNULL,
        )

    @property
    def pid(self):
        """Return the id of the process."""
        return self._popen.pid

    @property
    def exit_code(self):
        """Return the exit code; None while the process runs."""
        return self._popen.poll()

    def signal(self, number):
        """Send a signal to the process."""
        self._popen.send_signal(number)

    def wait_ready(self, limit_s=20.0):
        """Wait until the readiness address answers 200."""
        ends_at = time.monotonic() + limit_s
        while time.monotonic() < ends_at:
            if self.is_ready():
                return
            if self._popen.poll() is not None:
                raise CannotRun(
                    f"the program ended: {self.log_path.read_text()[-400:]}"
                )
            time.sleep(0.05)
        raise CannotRun("the program did not become ready")

    def is_ready(self):
        """Return whether the readiness address answers 200."""
        host, _, port = self.document["listenAddresses"]["ready"].rpartition(":")
        try:
            with socket.create_connection((host, int(port)), 1.0) as sock:
                sock.sendall(b"GET /-/readiness HTTP/1.1\r\nHost: x\r\n\r\n")
                return sock.recv(100).startswith(b"HTTP/1.1 200")
        except OSError:
            return False

    def close(self):
        """End the process."""
        if self._popen.poll() is None:
            self._popen.send_signal(signal.SIGCONT)
            self._popen.kill()
        self._popen.wait()
        self._log.close()


class Requester:
    """One requester's connection to an entry."""

    def __init__(self, program, timeout_s=8.0):
        host, _, port = program.document["listenAddresses"]["frontend"].rpartition(":")
        self.sock = socket.create_connection((host, int(port)), timeout_s)

    def send(self, method, path, attempt, key, body=b"", **headers):
        """Send one request."""
        lines = [
            f"{method} {path} HTTP/1.1",
            "Host: calls.example",
            f"Bamboolever-Attempt-Id: {attempt}",
        ]
        fields = {"Bamboolever-Deadline-Remaining": "6000", **headers}
        if key is not None:
            fields["Authorization"] = f"Token {key}"
        if body or method == "POST":
            fields["Content-Length"] = str(len(body))
        lines += [f"{name}: {value}" for name, value in fields.items()]
        self.sock.sendall("\r\n".join(lines).encode() + b"\r\n\r\n" + body)

    def read(self):
        """Read one answer: its status, headers, body and whether it is complete."""
        data = b""
        while b"\r\n\r\n" not in data:
            part = self._receive()
            if not part:
                return 0, {}, data, False
            data += part
        head, _, body = data.partition(b"\r\n\r\n")
        lines = head.decode("latin-1").split("\r\n")
        headers = {}
        for line in lines[1:]:
            name, _, value = line.partition(":")
            headers[name.strip().lower()] = value.strip()
        length = int(headers.get("content-length", 0))
        while len(body) < length:
            part = self._receive()
            if not part:
                break
            body += part
        return int(lines[0].split()[1]), headers, body, len(body) >= length

    def _receive(self):
        try:
            return self.sock.recv(65536)
        except OSError:
            return b""

    def close(self):
        """Close the connection."""
        self.sock.close()


def run_case(folder, case):
    """Run ``case(record, folder for files, closers)`` and exit with its result."""
    record = Record(folder)
    closers = []
    record.add(f"TROUBLE={int(TROUBLE)}")
    with tempfile.TemporaryDirectory() as scratch:
        try:
            if not (ROOT / "target" / "deps" / "bamboolever").exists():
                raise CannotRun(
                    "target/deps is missing: run the build of the deploy file"
                )
            result = case(record, scratch, closers)
        except (CannotRun, OSError) as error:
            record.add(f"could not run: {error}")
            result = COULD_NOT_RUN
        finally:
            for each in closers:
                each.close()
    record.add(f"result: {['held', 'BROKEN', 'could not run'][result]}")
    print(f"{Path(folder).name}: {['held', 'BROKEN', 'could not run'][result]}")
    raise SystemExit(result)
