"""Loads an entry process with token streams and measures the gaps between pieces.

Usage: python bench/streams.py [--streams 424] [--pieces 600] [--gap-ms 40]

Starts a stand-in platform in this process, and stand-in agents and one entry as
processes; only benches start processes, daemons start none. Reads all streams on one
selector loop. Prints one JSON object: the gaps between pieces, the entry's CPU time
per piece and its memory.
"""

import argparse
import dataclasses
import hashlib
import http.client
import json
import os
import random
import selectors
import signal
import socket
import subprocess
import sys
import tempfile
import time
import urllib.parse
from pathlib import Path

from bamboolever._documents import (
    CONTRACT_KIND,
    SERVICE_KIND,
    Contract,
    DocumentKey,
    ServiceDocument,
)
from bamboolever._operator import apply_changes, plan_changes
from bamboolever._platform import HttpPlatform, InstanceRecord
from bamboolever._standins.agent import StandInAgent
from bamboolever._standins.platform import StandInPlatform

KEY = "shared-key-of-bench"
AGENT_COUNT = 3
STARTS_PER_S = 33.0
TIMEOUT_S = 20.0


def main() -> None:
    """Run the bench."""
    parser = argparse.ArgumentParser()
    parser.add_argument("--streams", type=int, default=424)
    parser.add_argument("--pieces", type=int, default=600)
    parser.add_argument("--gap-ms", type=float, default=40.0)
    parser.add_argument("--first", type=int, default=0)
    parser.add_argument("--agents-of", help="internal: run only stand-in agents")
    options = parser.parse_args()
    if options.agents_of:
        run_agents(options)
        return
    platform = StandInPlatform()
    platform.start()
    put_documents(platform)
    agents = start_agents(platform.url, options)
    with tempfile.TemporaryDirectory() as directory:
        entry, port = start_entry(Path(directory), platform.url)
        try:
            wait_until_ready(port)
            result = run_streams(entry.pid, port, options)
        finally:
            entry.terminate()
            entry.wait(TIMEOUT_S)
    for agent in agents:
        agent.terminate()
        agent.wait(TIMEOUT_S)
    platform.stop()
    print(json.dumps(result))


def put_documents(platform: StandInPlatform) -> None:
    """Write one service and a contract whose limits the load does not reach."""
    client = HttpPlatform(platform.url, timeout_s=5.0, calls_per_second=100.0)
    contract = {
        "workspace": "bench",
        "api_key_sha256": [hashlib.sha256(b"bench").hexdigest()],
        "services": ["engraver"],
        "requests_per_second": 10_000,
        "burst": 10_000,
        "concurrency": 10_000,
        "queue": 10_000,
        "deadline": "10 min",
    }
    service = {
        "name": "engraver",
        "kind": "model",
        "routing": "least-outstanding",
        "routes": [{"method": "POST", "path": "/v1/completions", "idempotent": True}],
    }
    documents = {
        DocumentKey(CONTRACT_KIND, "bench"): Contract.model_validate(contract),
        DocumentKey(SERVICE_KIND, "engraver"): ServiceDocument.model_validate(service),
    }
    apply_changes(client, plan_changes(client, documents), "bench")


def start_agents(url: str, options: argparse.Namespace) -> list[subprocess.Popen]:
    """Start stand-in agents as processes, so that they share no interpreter lock."""
    command = [sys.executable, __file__, "--agents-of", url]
    command += ["--pieces", str(options.pieces), "--gap-ms", str(options.gap_ms)]
    return [subprocess.Popen([*command, "--first", str(i)]) for i in range(AGENT_COUNT)]


def run_agents(options: argparse.Namespace) -> None:
    """Run a stand-in agent in this process until a signal ends it."""
    name = f"agent-{options.first}"
    gap_s = options.gap_ms / 1000
    agent = StandInAgent(name, "engraver", KEY, pieces=options.pieces, gap_s=gap_s)
    agent.start()
    record = InstanceRecord(
        name, "agent", "engraver", "r", "z", "127.0.0.1", agent.port, False
    )
    parts = urllib.parse.urlsplit(options.agents_of)
    connection = http.client.HTTPConnection(parts.hostname, parts.port)
    body = json.dumps({"record": dataclasses.asdict(record)})
    connection.request("PUT", "/instances", body=body)
    connection.getresponse().read()
    signal.pause()


def start_entry(directory: Path, url: str) -> tuple[subprocess.Popen, int]:
    """Start an entry process; return it and the port for callers."""
    settings = directory / "entry.toml"
    settings.write_text(
        "\n".join(
            [
                'instance_id = "entry-1"',
                'region = "r"',
                'availability_zone = "z"',
                "caller_port = 0",
                "admin_port = 0",
                f'shared_keys = ["{KEY}"]',
                'balancer_delay = "10 ms"',
                "[platform]",
                f'url = "{url}"',
            ]
        )
    )
    command = [sys.executable, "-m", "bamboolever._cli", "entry"]
    log = directory / "entry.log"
    with log.open("w") as stderr:
        entry = subprocess.Popen(
            [*command, "--settings", str(settings), "--log-level", "INFO"],
            stderr=stderr,
        )
    deadline = time.monotonic() + TIMEOUT_S
    while time.monotonic() < deadline:
        lines = log.read_text().splitlines()
        if lines:
            return entry, int(json.loads(lines[0])["caller_port"])
        time.sleep(0.05)
    raise SystemExit("the entry did not start")


def wait_until_ready(port: int) -> None:
    """Wait until a call gets a response with status 200."""
    deadline = time.monotonic() + TIMEOUT_S
    while time.monotonic() < deadline:
        sock = open_stream(port)
        if b" 200 " in sock.recv(4096):
            sock.close()
            return
        sock.close()
        time.sleep(0.2)
    raise SystemExit("the entry does not respond")


def open_stream(port: int) -> socket.socket:
    """Send a request for a stream and return its connection."""
    body = b'{"model":"engraver","prompt":"p","stream":true,"max_tokens":9}'
    head = (
        "POST /v1/completions HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer bench\r\n"
        f"Content-Length: {len(body)}\r\n\r\n"
    )
    sock = socket.create_connection(("127.0.0.1", port), timeout=TIMEOUT_S)
    sock.sendall(head.encode() + body)
    return sock


def read_cpu_s(pid: int) -> float:
    """Return the CPU seconds that a process has used."""
    fields = Path(f"/proc/{pid}/stat").read_text().rsplit(")", 1)[1].split()
    return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")


def read_rss_bytes(pid: int) -> int:
    """Return the resident memory of a process in bytes."""
    return int(Path(f"/proc/{pid}/statm").read_text().split()[1]) * 4096


def run_streams(pid: int, port: int, options: argparse.Namespace) -> dict:
    """Open all streams, read them to their ends and return the measurements.

    Streams start at random times, at `STARTS_PER_S` on average. Gaps are measured once
    all streams have started.
    """
    selector = selectors.DefaultSelector()
    rng = random.Random(1)
    spread_s = options.streams / STARTS_PER_S
    starts = sorted(rng.random() * spread_s for _ in range(options.streams))
    started_at = time.monotonic()
    cpu_before = read_cpu_s(pid)
    last_read_at: dict[socket.socket, float] = {}
    gaps: list[float] = []
    complete = 0
    bytes_read = 0
    tails: dict[socket.socket, bytes] = {}
    max_duration_s = spread_s + options.pieces * options.gap_ms / 1000 * 3 + TIMEOUT_S
    while starts or last_read_at:
        if time.monotonic() - started_at > max_duration_s:
            break
        while starts and time.monotonic() - started_at >= starts[0]:
            starts.pop(0)
            sock = open_stream(port)
            sock.setblocking(False)
            selector.register(sock, selectors.EVENT_READ)
            last_read_at[sock] = 0.0
        for key, _ in selector.select(0.01):
            sock = key.fileobj
            data = sock.recv(65536)
            now = time.monotonic()
            tails[sock] = (tails.get(sock, b"") + data)[-32:]
            is_finished = not data or b"[DONE]" in tails[sock]
            # Measure only the steady state, in which every stream has started.
            if last_read_at[sock] and data and not is_finished and not starts:
                gaps.append(now - last_read_at[sock])
            last_read_at[sock] = now
            bytes_read += len(data)
            if is_finished:
                complete += b"[DONE]" in tails[sock]
                selector.unregister(sock)
                sock.close()
                del last_read_at[sock]
    elapsed_s = time.monotonic() - started_at
    cpu_s = read_cpu_s(pid) - cpu_before
    pieces = options.streams * options.pieces
    gaps.sort()
    return {
        "streams": options.streams,
        "complete": complete,
        "pieces_per_s": round(pieces / elapsed_s),
        "gap_p50_ms": round(gaps[len(gaps) // 2] * 1000, 1),
        "gap_p95_ms": round(gaps[int(len(gaps) * 0.95)] * 1000, 1),
        "gap_p99_ms": round(gaps[int(len(gaps) * 0.99)] * 1000, 1),
        "entry_cpu_cores": round(cpu_s / elapsed_s, 2),
        "entry_cpu_us_per_piece": round(cpu_s / pieces * 1e6, 1),
        "entry_rss_bytes": read_rss_bytes(pid),
    }


if __name__ == "__main__":
    main()
