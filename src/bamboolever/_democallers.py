"""Callers of the demo and the benches: HTTP clients that check every response."""

import hashlib
import http.client
import json
import random
import threading
import time
from collections import Counter
from dataclasses import dataclass, field
from typing import Any, final

from bamboolever._demofleet import ADMIN, MODEL, ORDERS, WORKSPACES, make_api_key
from bamboolever._standins.engine import expected_text

MAX_TOKENS = 16
CALL_TIMEOUT_S = 25.0
MAX_JOB_ATTEMPTS = 8
CALL_PAUSE_S = 0.02
#: Index of the only caller that sends the request which crashes engines, repeatedly.
POISON_CALLER = "0"


@dataclass
class CallCounts:
    """Counts over all callers.

    ``sent`` counts all requests. ``refused_not_run`` counts errors with the outcome
    "not-run", ``unknown`` all other errors and broken streams. ``complete`` and
    ``wrong`` count responses with status 200 that passed or failed the check; ``wrong``
    must stay 0. ``refusals`` counts by error code. ``latencies_s`` is the duration of
    each request with status 200, ``wrong_details`` the names of the wrong ones.
    """

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
class CallerResponse:
    """A response as received, with status 0 if the connection failed or timed out.

    ``outcome``, ``version`` and ``retry_after_s`` are from headers and ``code`` is the
    error code in the body. ``is_complete`` means that the whole body arrived.
    """

    status: int
    outcome: str
    code: str
    version: str
    body: bytes
    is_complete: bool
    retry_after_s: float


@final
class CallerFleet:
    """Threads that send calls to all entries and check the responses.

    ``ports`` are the entries' caller ports. ``digests`` is the digest of the weights
    by version, to compute the expected text. ``seed`` fixes the sequence of calls.
    """

    def __init__(self, ports: list[int], digests: dict[str, str], *, seed: int):
        self._ports = ports
        self._digests = digests
        self._seed = seed
        self._lock = threading.Lock()
        self._stopping = threading.Event()
        self._threads: list[threading.Thread] = []
        self.counts = CallCounts()
        #: Dispatch keys of jobs whose last outcome was "not-run"; none may have run.
        self.not_run_keys: set[str] = set()
        #: If not empty, `POISON_CALLER` sends the first one as each of its prompts.
        self.poison_prompts: list[str] = []

    def start(self, count: int) -> None:
        """Start ``count`` callers."""
        for index in range(count):
            thread = threading.Thread(
                target=self._run_caller, args=(index,), daemon=True
            )
            thread.start()
            self._threads.append(thread)

    def stop(self) -> None:
        """Stop all callers and wait until their last calls have ended."""
        self._stopping.set()
        for thread in self._threads:
            thread.join(CALL_TIMEOUT_S * 2)

    def send_request(
        self, port: int, method: str, path: str, body: bytes, headers: dict[str, str]
    ) -> CallerResponse:
        """Send a request and return its response.

        A body that breaks off is returned with ``is_complete`` false.
        """
        connection = http.client.HTTPConnection(
            "127.0.0.1", port, timeout=CALL_TIMEOUT_S
        )
        try:
            connection.request(method, path, body=body or None, headers=headers)
            response = connection.getresponse()
            is_complete = True
            try:
                data = response.read()
            except http.client.IncompleteRead as error:
                data = error.partial
                is_complete = False
            return _read_response(response, data, is_complete)
        except (OSError, http.client.HTTPException):
            return CallerResponse(0, "unknown", "connection", "", b"", False, 0.1)
        finally:
            connection.close()

    def _run_caller(self, index: int) -> None:
        rng = random.Random(f"{self._seed}/{index}")
        workspace = WORKSPACES[index % len(WORKSPACES)]
        serial = 0
        while not self._stopping.is_set():
            serial += 1
            fraction = rng.random()
            port = rng.choice(self._ports)
            name = f"{workspace}-{index}-{serial}"
            if fraction < 0.45:
                self._request_completion(port, workspace, name, rng, is_stream=True)
            elif fraction < 0.65:
                self._request_completion(port, workspace, name, rng, is_stream=False)
            elif fraction < 0.85:
                self._request_lookup(port, workspace, name)
            else:
                self._submit_job(workspace, name, rng)
            time.sleep(CALL_PAUSE_S)

    def _request_completion(
        self,
        port: int,
        workspace: str,
        name: str,
        rng: random.Random,
        *,
        is_stream: bool,
    ) -> None:
        prompt = f"inscription {rng.randrange(8)} for {name}"
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
        response = self.send_request(
            port, "POST", "/v1/completions", body, _make_headers(workspace)
        )
        self._record_response(response, time.monotonic() - started)
        if response.status != 200:
            return
        text, is_terminated = _read_completion(response, is_stream)
        if not is_terminated:
            with self._lock:
                self.counts.broken_streams += 1
                self.counts.refusals["stream-aborted"] += 1
                self.counts.unknown += 1
            return
        digest = self._digests.get(response.version, "")
        self._record_check(text == expected_text(digest, prompt, MAX_TOKENS), name)

    def _request_lookup(self, port: int, workspace: str, name: str) -> None:
        is_admin = name.endswith("5")
        path = (
            f"/services/{ADMIN}/studios"
            if is_admin
            else f"/services/{ORDERS}/lookup/{name}"
        )
        started = time.monotonic()
        response = self.send_request(port, "GET", path, b"", _make_headers(workspace))
        self._record_response(response, time.monotonic() - started)
        if response.status != 200:
            return
        expected = "/studios" if is_admin else f"/lookup/{name}"
        self._record_check(json.loads(response.body).get("path") == expected, name)

    def _submit_job(self, workspace: str, name: str, rng: random.Random) -> None:
        """Submit a job, and again with the same key until its outcome is final.

        One in five successful jobs is repeated too, to test that it runs only once.
        """
        body = json.dumps({"job": name}).encode()
        headers = {**_make_headers(workspace), "Idempotency-Key": name}
        scoped_key = f"{workspace}/{ORDERS}/{name}"
        for _ in range(MAX_JOB_ATTEMPTS):
            port = rng.choice(self._ports)
            started = time.monotonic()
            response = self.send_request(
                port, "POST", f"/services/{ORDERS}/jobs", body, headers
            )
            self._record_response(response, time.monotonic() - started)
            if response.status == 200:
                digest = json.loads(response.body).get("body_sha256")
                self._record_check(digest == hashlib.sha256(body).hexdigest(), name)
                if rng.random() > 0.2:
                    return
                continue
            if response.code in (
                "upstream-lost",
                "earlier-outcome-unknown",
                "timed-out",
            ):
                return
            time.sleep(min(1.0, response.retry_after_s))
        if response.outcome == "not-run":
            with self._lock:
                self.not_run_keys.add(scoped_key)

    def _record_check(self, is_correct: bool, name: str) -> None:
        with self._lock:
            if is_correct:
                self.counts.complete += 1
                return
            self.counts.wrong += 1
            self.counts.wrong_details.append(name)

    def _record_response(self, response: CallerResponse, latency_s: float) -> None:
        with self._lock:
            self.counts.sent += 1
            if response.status == 200:
                self.counts.latencies_s.append(latency_s)
                return
            self.counts.refusals[response.code] += 1
            if response.outcome == "not-run":
                self.counts.refused_not_run += 1
            else:
                self.counts.unknown += 1


def _make_headers(workspace: str) -> dict[str, str]:
    return {
        "Authorization": f"Bearer {make_api_key(workspace)}",
        "Content-Type": "application/json",
    }


def _read_response(
    response: http.client.HTTPResponse, data: bytes, is_complete: bool
) -> CallerResponse:
    code = ""
    if response.status != 200:
        code = _read_error_code(data)
    return CallerResponse(
        status=response.status,
        outcome=response.headers.get("X-Bamboolever-Outcome", "unknown"),
        code=code,
        version=response.headers.get("X-Model-Version", ""),
        body=data,
        is_complete=is_complete,
        retry_after_s=float(response.headers.get("Retry-After", "0.1")),
    )


def _read_error_code(data: bytes) -> str:
    try:
        content: Any = json.loads(data)
        return str(content["error"]["code"])
    except (ValueError, KeyError, TypeError):
        return "unreadable"


def _read_completion(response: CallerResponse, is_stream: bool) -> tuple[str, bool]:
    """Return the text of a completion and whether it is complete."""
    if not is_stream:
        if not response.is_complete:
            return "", False
        return str(json.loads(response.body)["choices"][0]["text"]), True
    text = ""
    is_terminated = False
    for event in response.body.split(b"\n\n"):
        payload = event.removeprefix(b"data: ")
        if payload == b"[DONE]":
            is_terminated = True
        elif payload and response.is_complete:
            text += json.loads(payload)["choices"][0]["text"]
    return text, is_terminated and response.is_complete
