"""Stand-in for an upstream: a model engine or a plain service.

A completion is a function of the loaded weights and the prompt. A caller can
therefore check that a response is complete, belongs to its request and comes from a
single version.
"""

import hashlib
import json
import threading
import time
from collections import Counter
from collections.abc import Iterator
from dataclasses import dataclass
from typing import Any, final

from bamboolever._webserver import WebRequest, WebResponse, WebServer

SERVER_THREADS = 24
#: A prompt that contains this text crashes the engine.
POISON_MARKER = "crash-this-engine"
EVENT_STREAM = "text/event-stream"


@dataclass(frozen=True)
class EngineTiming:
    """Durations in seconds: to the first token, per token, per load and per restart.

    A plain service responds after ``first_token_s``.
    """

    first_token_s: float = 0.02
    token_s: float = 0.01
    load_s: float = 0.1
    restart_s: float = 0.5


def expected_token(weights_digest: str, prompt: str, index: int) -> str:
    """Return the token that a model with these weights generates at ``index``."""
    seed = f"{weights_digest}|{prompt}|{index}".encode()
    return hashlib.sha256(seed).hexdigest()[:8] + " "


def expected_text(weights_digest: str, prompt: str, max_tokens: int) -> str:
    """Return the complete text that a model with these weights generates."""
    return "".join(
        expected_token(weights_digest, prompt, index) for index in range(max_tokens)
    )


@final
class StandInEngine:
    """An upstream over HTTP that can crash, fail loads and ignore fencing tokens.

    ``kind`` is "model" or "plain". A model engine accepts chunks and load orders and
    generates completions; a plain service returns the path and the body's digest.
    ``execution_counts`` counts the executed calls by dispatch key, so that a test can
    find calls that ran twice. ``load_orders`` lists the version and the fencing token
    of each load order that passed the fencing check. The next ``loads_to_fail`` load
    orders fail. ``weights_digest`` and ``version`` are empty while no model is loaded.
    """

    def __init__(
        self,
        kind: str = "model",
        host: str = "127.0.0.1",
        port: int = 0,
        *,
        timing: EngineTiming = EngineTiming(),
        is_fencing_checked: bool = True,
    ):
        self._kind = kind
        self._host = host
        self._timing = timing
        self._is_fencing_checked = is_fencing_checked
        self._lock = threading.Lock()
        self._staged: dict[str, dict[int, bytes]] = {}
        #: Changes with every crash and stop, so that running loads and completions end.
        self._generation = 0
        self._fencing = 0
        self._in_flight = 0
        self.weights_digest = ""
        self.version = ""
        self.execution_counts: Counter[str] = Counter()
        self.load_orders: list[tuple[str, int]] = []
        self.loads_to_fail = 0
        self.crash_count = 0
        self._server = WebServer(
            host, port, self._handle_request, threads=SERVER_THREADS
        )
        self.port = self._server.port
        self.url = f"http://{host}:{self.port}"

    def start(self) -> None:
        """Serve requests until `stop` is called."""
        self._server.start()

    def stop(self) -> None:
        """Stop running completions and close every connection."""
        self._generation += 1
        self._server.stop()

    def crash(self) -> None:
        """Clear the model, close every connection and restart after ``restart_s``."""
        self.crash_count += 1
        with self._lock:
            self._clear_model()
        self._server.stop()
        threading.Timer(self._timing.restart_s, self._restart).start()

    def _restart(self) -> None:
        try:
            self._server = WebServer(
                self._host, self.port, self._handle_request, threads=SERVER_THREADS
            )
        except OSError:
            # The port may still be in use.
            threading.Timer(0.2, self._restart).start()
            return
        self._server.start()

    def _clear_model(self) -> None:
        self._generation += 1
        self._staged.clear()
        self._in_flight = 0
        self._fencing = 0
        self.weights_digest = ""
        self.version = ""

    def _handle_request(self, request: WebRequest) -> WebResponse:
        parts = request.path.strip("/").split("/")
        if parts[0] == "staging" and len(parts) == 3:
            return self._stage_chunk(parts[1], int(parts[2]), request.body)
        if parts[0] == "orders" and len(parts) == 2 and parts[1] == "load":
            return self._load_version(json.loads(request.body))
        if parts[0] == "model" and request.method == "GET":
            return WebResponse.from_json(self._describe())
        if parts[0] == "load" and request.method == "GET":
            return WebResponse.from_json({"in_flight": self._in_flight})
        if parts[0] == "_runs":
            return WebResponse.from_json(dict(self.execution_counts))
        if self._kind == "model":
            return self._complete_prompt(request)
        return self._execute_plain(request)

    def _describe(self) -> dict[str, Any]:
        return {
            "version": self.version,
            "weights_digest": self.weights_digest,
            "fencing": self._fencing,
            "generation": self._generation,
        }

    def _stage_chunk(
        self, manifest_digest: str, index: int, data: bytes
    ) -> WebResponse:
        with self._lock:
            if manifest_digest not in self._staged:
                self._staged = {manifest_digest: {}}
            self._staged[manifest_digest][index] = data
        return WebResponse.from_json({})

    def _load_version(self, order: dict[str, Any]) -> WebResponse:
        fencing = int(order["fencing"])
        with self._lock:
            if self._is_fencing_checked and fencing < self._fencing:
                return WebResponse.from_json({"error": "old fencing"}, status=412)
            self.load_orders.append((str(order["version"]), fencing))
            if self.loads_to_fail > 0:
                self.loads_to_fail -= 1
                return WebResponse.from_json({"error": "load failed"}, status=500)
            self._fencing = max(fencing, self._fencing)
            self.weights_digest = ""
            self.version = ""
            staged = self._staged.get(str(order["manifest_digest"]), {})
            data = b"".join(staged[index] for index in sorted(staged))
            generation = self._generation
        time.sleep(self._timing.load_s)
        with self._lock:
            if generation != self._generation:
                return WebResponse.from_json({"error": "restarted"}, status=500)
            self.weights_digest = hashlib.sha256(data).hexdigest()
            self.version = str(order["version"])
            self._staged.clear()
        return WebResponse.from_json(self._describe())

    def _execute_plain(self, request: WebRequest) -> WebResponse:
        key = request.headers.get("x-dispatch-key", "")
        self.execution_counts[key] += 1
        time.sleep(self._timing.first_token_s)
        digest = hashlib.sha256(request.body).hexdigest()
        return WebResponse.from_json({"path": request.path, "body_sha256": digest})

    def _complete_prompt(self, request: WebRequest) -> WebResponse:
        body = json.loads(request.body)
        prompt = str(body.get("prompt", ""))
        if POISON_MARKER in prompt:
            threading.Thread(target=self.crash).start()
            # The crash closes this connection before a response is sent.
            time.sleep(1.0)
        if not self.weights_digest:
            return WebResponse.from_json({"error": "no model loaded"}, status=503)
        self.execution_counts[request.headers.get("x-dispatch-key", "")] += 1
        max_tokens = int(body.get("max_tokens", 16))
        start = int(body.get("resume_from", 0))
        headers = {"X-Model-Version": self.version}
        tokens = self._generate_tokens(prompt, start, max_tokens)
        if body.get("stream"):
            events = self._encode_events(tokens)
            return WebResponse(200, events, EVENT_STREAM, headers)
        content = {"object": "text_completion", "choices": [{"text": "".join(tokens)}]}
        return WebResponse(body=json.dumps(content).encode(), headers=headers)

    def _generate_tokens(
        self, prompt: str, start: int, max_tokens: int
    ) -> Iterator[str]:
        generation = self._generation
        self._in_flight += 1
        try:
            time.sleep(self._timing.first_token_s)
            for index in range(start, max_tokens):
                if generation != self._generation:
                    raise ConnectionAbortedError("the engine crashed")
                yield expected_token(self.weights_digest, prompt, index)
                time.sleep(self._timing.token_s)
        finally:
            self._in_flight = max(0, self._in_flight - 1)

    def _encode_events(self, tokens: Iterator[str]) -> Iterator[bytes]:
        try:
            for token in tokens:
                content = {"object": "text_completion", "choices": [{"text": token}]}
                yield b"data: " + json.dumps(content).encode() + b"\n\n"
            yield b"data: [DONE]\n\n"
        except ConnectionAbortedError:
            return
