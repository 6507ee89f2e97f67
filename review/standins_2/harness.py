"""Starts the project's programs against stand-ins on loopback addresses.

The programs are separate processes, started with the commands of the deploy file and a
settings file in the platform's format. The store and the origin are the project's own
stand-ins; callers and raw workers are below. Everything ends with the `Deployment`.
"""

import asyncio
import itertools
import json
import os
import random
import secrets
import shlex
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib
from pathlib import Path

ROOT = Path(__file__).resolve().parents[2]
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
EXIT_HELD, EXIT_BROKEN, EXIT_NOT_RUN = 0, 1, 2

sys.path.insert(0, str(ROOT / "target" / "deps"))

from bamboolever.platform.names import CONFIGURATION_KIND, UPSTREAM_KIND  # noqa: E402
from bamboolever.platform.standins.site import (  # noqa: E402
    API_KEY,
    HOST,
    PLAIN_SERVICE,
    Site,
    find_free_port,
)

__all__ = [
    "API_KEY",
    "CONFIGURATION_KIND",
    "PLAIN_SERVICE",
    "UPSTREAM_KIND",
    "Deployment",
    "RawWorker",
    "Record",
    "find_free_port",
    "finish",
    "make_request",
    "read_answer",
    "request",
]

# Figures of the small deployments (SYSTEM.md).
BOUNDS = {
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
}
ENTRY_LIMITS = {
    "cpuShare": 0.817,
    "cpuCores": 1,
    "memoryMb": 300,
    "fileDescriptors": 4100,
    "linkMbps": 1000.0,
    "diskMb": 0,
}
READY_TIMEOUT_S = 25.0

_serial = itertools.count(1)


class Record:
    """Writes what was sent, answered and run to a file; times are seconds."""

    def __init__(self, folder):
        self._started_at = time.monotonic()
        self._file = (Path(folder) / "record.txt").open("w")
        self.write(f"trouble: {'yes' if TROUBLE else 'no'}")

    def now(self):
        """Return the seconds since the start of the record."""
        return time.monotonic() - self._started_at

    def write(self, text):
        """Write one line with its time."""
        self._file.write(f"{self.now():8.3f}  {text}\n")
        self._file.flush()


class Process:
    """One of the project's programs, as the deploy file starts it."""

    def __init__(self, role, settings, folder):
        deploy = tomllib.loads((ROOT / "deploy" / "system.toml").read_text())
        command = shlex.split(deploy["roles"][role]["run"])
        self.name = settings["nodeName"]
        self.settings = settings
        path = Path(folder) / f"{self.name}.json"
        path.write_text(json.dumps(settings))
        environment = {
            name: os.environ[name] for name in ("PATH", "HOME") if name in os.environ
        }
        environment["PYTHONPATH"] = str(ROOT / "target" / "deps")
        environment["BAMBOOLEVER_NODE_FILE"] = str(path)
        self.log_path = Path(folder) / f"{self.name}.log"
        with self.log_path.open("ab") as log:
            self._popen = subprocess.Popen(
                command, cwd=ROOT, env=environment, stdout=log, stderr=log
            )

    @property
    def caller_address(self):
        """Return host and port for callers."""
        return _split(self.settings["listenAddresses"]["frontend"])

    @property
    def ready_address(self):
        """Return host and port of the readiness check."""
        return _split(self.settings["listenAddresses"]["ready"])

    @property
    def exit_code(self):
        """Return the exit code, None while the process runs."""
        return self._popen.poll()

    def signal(self, number):
        """Send a signal."""
        if self._popen.poll() is None:
            self._popen.send_signal(number)

    def end(self):
        """Kill the process and wait for its end."""
        if self._popen.poll() is None:
            self._popen.send_signal(signal.SIGCONT)
            self._popen.kill()
        self._popen.wait()

    def messages(self):
        """Return the lines of its log that are JSON."""
        lines = self.log_path.read_text(errors="replace").splitlines()
        return [json.loads(line) for line in lines if line.startswith("{")]


class Deployment:
    """A small deployment; a context manager that ends all that it started."""

    def __init__(self):
        self.site = Site()
        self.folder = tempfile.TemporaryDirectory()
        self.processes = []
        self.workers = []
        self._hosts = iter(
            random.SystemRandom().sample(
                [f"127.{a}.{b}.1" for a in range(11, 120) for b in range(200)], 200
            )
        )

    def __enter__(self):
        return self

    def __exit__(self, *_):
        for process in self.processes:
            process.end()
        for worker in self.workers:
            worker.close()
        self.site.close()
        self.folder.cleanup()

    def next_host(self):
        """Return a loopback address that nothing here uses yet."""
        return next(self._hosts)

    def start_entry(self, name="entry-1", *, settings=None, **changes):
        """Start an entry at a loopback address of its own, or with ``settings``."""
        if settings is None:
            settings = self.site.make_settings(name=name, host=self.next_host())
            settings["limits"] = dict(ENTRY_LIMITS)
            settings["bounds"] = dict(BOUNDS)
            settings.update(changes)
        process = Process("entry", settings, self.folder.name)
        self.processes.append(process)
        return process

    def start_agent(self, name, host, upstream, **changes):
        """Start the agent of an engine at the engine's address."""
        settings = self.site.make_settings(name=name, host=host, upstream=upstream)
        settings["bounds"] = dict(BOUNDS)
        settings["limits"] = {"memoryMb": 168, "fileDescriptors": 1124, "linkMbps": 0}
        settings.update(changes)
        process = Process("agent", settings, self.folder.name)
        self.processes.append(process)
        return process

    def add_raw_worker(self, worker, service, **changes):
        """Write the entry of a raw worker to the store."""
        self.workers.append(worker)
        self.site.put_upstream(worker, service, **changes)
        return worker


class RawWorker:
    """A worker whose answers a coroutine writes; see `RawWorker.serve`.

    ``engine`` is None for a plain service; the store's stand-in reads it.
    """

    def __init__(self, instance_id, answer, engine=None, host="127.0.0.1"):
        self.instance_id = instance_id
        self.engine = engine
        self._answer = answer
        self._server = None
        self._tasks = set()
        sock = socket.create_server((host, 0))
        self._sock = sock
        self.address = "{}:{}".format(*sock.getsockname())
        self.received = []

    async def serve(self):
        """Accept connections; ``answer(worker, head, body, writer)`` runs for each."""
        self._server = await asyncio.start_server(self._run, sock=self._sock)

    async def _run(self, reader, writer):
        task = asyncio.current_task()
        self._tasks.add(task)
        try:
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                fields = parse_head(head)
                body = await reader.readexactly(int(fields.get("content-length", 0)))
                self.received.append((time.monotonic(), head, fields))
                await self._answer(self, head, body, writer)
        except (asyncio.IncompleteReadError, OSError, asyncio.CancelledError):
            pass
        finally:
            self._tasks.discard(task)
            writer.close()

    def crash(self):
        """Stop listening and reset all connections."""
        self.close()
        for task in list(self._tasks):
            task.cancel()

    def close(self):
        """Stop listening."""
        if self._server is not None:
            self._server.close()
        self._sock.close()


def parse_head(head):
    """Return the header fields of a head by lower-case name."""
    fields = {}
    for line in head.split(b"\r\n")[1:]:
        name, separator, value = line.partition(b":")
        if separator:
            fields[name.decode("latin-1").lower()] = value.strip().decode("latin-1")
    return fields


def make_request(method, path, *, body=b"", attempt=None, deadline_ms=5000, **headers):
    """Return the bytes of a request and its attempt id."""
    attempt = attempt or secrets.token_hex(8)
    lines = [
        f"{method} {path} HTTP/1.1",
        f"Host: {HOST}",
        f"Bamboolever-Attempt-Id: {attempt}",
        f"Bamboolever-Deadline-Remaining: {deadline_ms}",
    ]
    headers = {"Authorization": f"Token {API_KEY}", **headers}
    lines += [f"{n.replace('_', '-')}: {v}" for n, v in headers.items() if v]
    if body:
        lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join(lines).encode() + b"\r\n\r\n" + body, attempt


async def read_answer(reader, method="POST"):
    """Return status, fields and body of an answer, and whether it is complete."""
    head = await reader.readuntil(b"\r\n\r\n")
    status = int(head.split(b" ", 2)[1])
    fields = parse_head(head)
    if method == "HEAD" or status in (204, 304):
        return status, fields, b"", True
    try:
        if "chunked" in fields.get("transfer-encoding", ""):
            body = b""
            while size := int((await reader.readuntil(b"\r\n")).strip() or b"0", 16):
                body += (await reader.readexactly(size + 2))[:-2]
            await reader.readuntil(b"\r\n")
            return status, fields, body, True
        body = await reader.readexactly(int(fields.get("content-length", 0)))
    except (asyncio.IncompleteReadError, OSError):
        return status, fields, b"", False
    return status, fields, body, True


async def request(address, method, path, *, timeout_s, **options):
    """Send one request on a new connection; see `request_fields`."""
    found = await request_fields(address, method, path, timeout_s=timeout_s, **options)
    return found[:3]


async def request_fields(address, method, path, *, timeout_s, **options):
    """Send one request on a new connection.

    Returns attempt id, outcome, seconds and the answer's header fields. The outcome is
    a status, "closed", "cut", or "no answer" after ``timeout_s`` seconds.
    """
    fields = {}
    data, attempt = make_request(method, path, **options)
    started_at = time.monotonic()
    writer = None
    try:
        async with asyncio.timeout(timeout_s):
            reader, writer = await asyncio.open_connection(*address)
            writer.write(data)
            status, fields, _, is_complete = await read_answer(reader, method)
        outcome = status if is_complete else "cut"
    except TimeoutError:
        outcome = "no answer"
    except (asyncio.IncompleteReadError, OSError):
        outcome = "closed"
    finally:
        if writer is not None:
            writer.close()
    return attempt, outcome, time.monotonic() - started_at, fields


async def is_ready(process, timeout_s=1.0):
    """Return whether the readiness check answers 200 within ``timeout_s`` seconds."""
    writer = None
    try:
        async with asyncio.timeout(timeout_s):
            reader, writer = await asyncio.open_connection(*process.ready_address)
            writer.write(b"GET /-/readiness HTTP/1.1\r\nHost: x\r\n\r\n")
            status, _, _, _ = await read_answer(reader)
    except (TimeoutError, asyncio.IncompleteReadError, OSError):
        return False
    finally:
        if writer is not None:
            writer.close()
    return status == 200


async def wait_ready(process):
    """Wait until the process is ready; raises `TimeoutError` if it does not get so."""
    deadline = time.monotonic() + READY_TIMEOUT_S
    while not await is_ready(process):
        if time.monotonic() > deadline or process.exit_code is not None:
            raise TimeoutError(f"{process.name} did not get ready")
        await asyncio.sleep(0.1)


def finish(main, folder):
    """Run a case and exit with its result; ``main`` returns whether the rule held."""
    record = Record(folder)
    try:
        with Deployment() as deployment:
            held = asyncio.run(main(deployment, record))
    except Exception as error:  # the case could not run, whatever the reason
        record.write(f"the case could not run: {error!r}")
        sys.exit(EXIT_NOT_RUN)
    record.write(f"result: the rule {'held' if held else 'was broken'}")
    sys.exit(EXIT_HELD if held else EXIT_BROKEN)


def _split(address):
    host, _, port = address.rpartition(":")
    return host, int(port)
