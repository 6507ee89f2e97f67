"""Callers of the demo and the bench: real HTTP clients that check every answer."""

import hashlib
import http.client
import json
import random
import threading
import time
from collections import Counter
from dataclasses import dataclass, field
from typing import Any, final

from bamboolever._demofleet import ADMIN, MODEL, ORDERS, WORKSPACES, api_key
from bamboolever._standins.engine import expected_text

MAX_TOKENS = 16
CALL_TIMEOUT_S = 25.0
MAX_REPEATS = 8
PAUSE_S = 0.02
#: The one caller that sends the request which crashes engines, again and again.
POISON_CALLER = "0"


@dataclass
class CallCounts:
    """What the callers saw; ``wrong`` must stay 0."""

    sent: int = 0
    complete: int = 0
    refused_not_run: int = 0
    unknown: int = 0
    wrong: int = 0
    broken_streams: int = 0
    refusals: Counter[str] = field(default_factory=Counter)
    latencies_s: list[float] = field(default_factory=list)
    wrong_details: list[str] = field(default_factory=list)


@dataclass(frozen=True)
class Answer:
    """One response as the caller saw it."""

    status: int
    outcome: str
    code: str
    version: str
    body: bytes
    is_whole: bool
    retry_after_s: float


@final
class CallerFleet:
    """Threads that call through both entries and check the answers."""

    def __init__(self, ports: list[int], digests: dict[str, str], *, seed: int):
        self._ports = ports
        self._digests = digests
        self._seed = seed
        self._lock = threading.Lock()
        self._stopping = threading.Event()
        self._threads: list[threading.Thread] = []
        self.counts = CallCounts()
        #: Keys whose last word was "not run": they must never have run.
        self.not_run_keys: set[str] = set()
        self.poison_prompts: list[str] = []

    def start(self, count: int) -> None:
        """Start ``count`` callers."""
        for index in range(count):
            thread = threading.Thread(target=self._run, args=(index,), daemon=True)
            thread.start()
            self._threads.append(thread)

    def stop(self) -> None:
        """Let each caller end its call, and wait for it."""
        self._stopping.set()
        for thread in self._threads:
            thread.join(CALL_TIMEOUT_S * 2)

    def call_once(
        self, port: int, method: str, path: str, body: bytes, headers: dict[str, str]
    ) -> Answer:
        """Send one request and read its answer to the end, or to its break."""
        connection = http.client.HTTPConnection(
            "127.0.0.1", port, timeout=CALL_TIMEOUT_S
        )
        try:
            connection.request(method, path, body=body or None, headers=headers)
            response = connection.getresponse()
            is_whole = True
            try:
                data = response.read()
            except http.client.IncompleteRead as error:
                data = error.partial
                is_whole = False
            return _read_answer(response, data, is_whole)
        except (OSError, http.client.HTTPException):
            return Answer(0, "unknown", "connection", "", b"", False, 0.1)
        finally:
            connection.close()

    def _run(self, index: int) -> None:
        source = random.Random(f"{self._seed}/{index}")
        workspace = WORKSPACES[index % len(WORKSPACES)]
        serial = 0
        while not self._stopping.is_set():
            serial += 1
            kind = source.random()
            port = source.choice(self._ports)
            name = f"{workspace}-{index}-{serial}"
            if kind < 0.45:
                self._complete(port, workspace, name, source, is_stream=True)
            elif kind < 0.65:
                self._complete(port, workspace, name, source, is_stream=False)
            elif kind < 0.85:
                self._look_up(port, workspace, name)
            else:
                self._order(workspace, name, source)
            time.sleep(PAUSE_S)

    def _complete(
        self,
        port: int,
        workspace: str,
        name: str,
        source: random.Random,
        *,
        is_stream: bool,
    ) -> None:
        prompt = f"inscription {source.randrange(8)} for {name}"
        if self.poison_prompts and name.split("-")[-2] == POISON_CALLER:
            prompt = self.poison_prompts[0]
            is_stream = False
        content = {
            "model": MODEL,
            "prompt": prompt,
            "max_tokens": MAX_TOKENS,
            "stream": is_stream,
        }
        body = json.dumps(content).encode()
        started = time.monotonic()
        answer = self.call_once(
            port, "POST", "/v1/completions", body, _headers(workspace)
        )
        self._count(answer, time.monotonic() - started)
        if answer.status != 200:
            return
        text, is_terminated = _read_completion(answer, is_stream)
        if not is_terminated:
            with self._lock:
                self.counts.broken_streams += 1
                self.counts.refusals["stream-aborted"] += 1
                self.counts.unknown += 1
            return
        digest = self._digests.get(answer.version, "")
        self._judge(text == expected_text(digest, prompt, MAX_TOKENS), name)

    def _look_up(self, port: int, workspace: str, name: str) -> None:
        is_admin = name.endswith("5")
        path = (
            f"/services/{ADMIN}/studios"
            if is_admin
            else f"/services/{ORDERS}/lookup/{name}"
        )
        started = time.monotonic()
        answer = self.call_once(port, "GET", path, b"", _headers(workspace))
        self._count(answer, time.monotonic() - started)
        if answer.status != 200:
            return
        expected = "/studios" if is_admin else f"/lookup/{name}"
        self._judge(json.loads(answer.body).get("path") == expected, name)

    def _order(self, workspace: str, name: str, source: random.Random) -> None:
        """Send a laser job; repeat it with its key until its end is known."""
        body = json.dumps({"job": name}).encode()
        headers = {**_headers(workspace), "Idempotency-Key": name}
        scoped = f"{workspace}/{ORDERS}/{name}"
        for _ in range(MAX_REPEATS):
            port = source.choice(self._ports)
            started = time.monotonic()
            answer = self.call_once(
                port, "POST", f"/services/{ORDERS}/jobs", body, headers
            )
            self._count(answer, time.monotonic() - started)
            if answer.status == 200:
                digest = json.loads(answer.body).get("body_sha256")
                self._judge(digest == hashlib.sha256(body).hexdigest(), name)
                if source.random() > 0.2:
                    return
                continue
            if answer.code in ("upstream-lost", "earlier-outcome-unknown", "timed-out"):
                return
            time.sleep(min(1.0, answer.retry_after_s))
        if answer.outcome == "not-run":
            with self._lock:
                self.not_run_keys.add(scoped)

    def _judge(self, is_right: bool, name: str) -> None:
        with self._lock:
            if is_right:
                self.counts.complete += 1
                return
            self.counts.wrong += 1
            self.counts.wrong_details.append(name)

    def _count(self, answer: Answer, latency_s: float) -> None:
        with self._lock:
            self.counts.sent += 1
            if answer.status == 200:
                self.counts.latencies_s.append(latency_s)
                return
            self.counts.refusals[answer.code] += 1
            if answer.outcome == "not-run":
                self.counts.refused_not_run += 1
            else:
                self.counts.unknown += 1


def _headers(workspace: str) -> dict[str, str]:
    return {
        "Authorization": f"Bearer {api_key(workspace)}",
        "Content-Type": "application/json",
    }


def _read_answer(
    response: http.client.HTTPResponse, data: bytes, is_whole: bool
) -> Answer:
    code = ""
    if response.status != 200:
        code = _read_code(data)
    return Answer(
        status=response.status,
        outcome=response.headers.get("X-Bamboolever-Outcome", "unknown"),
        code=code,
        version=response.headers.get("X-Model-Version", ""),
        body=data,
        is_whole=is_whole,
        retry_after_s=float(response.headers.get("Retry-After", "0.1")),
    )


def _read_code(data: bytes) -> str:
    try:
        content: Any = json.loads(data)
        return str(content["error"]["code"])
    except (ValueError, KeyError, TypeError):
        return "unreadable"


def _read_completion(answer: Answer, is_stream: bool) -> tuple[str, bool]:
    """Return the text and whether the answer came to its end."""
    if not is_stream:
        if not answer.is_whole:
            return "", False
        return str(json.loads(answer.body)["choices"][0]["text"]), True
    text = ""
    is_terminated = False
    for event in answer.body.split(b"\n\n"):
        payload = event.removeprefix(b"data: ")
        if payload == b"[DONE]":
            is_terminated = True
        elif payload and answer.is_whole:
            text += json.loads(payload)["choices"][0]["text"]
    return text, is_terminated and answer.is_whole
