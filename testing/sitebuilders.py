"""Builds objects and runs daemons for tests against the platform's stand-ins."""

import http.client
import itertools
import threading
import time
from dataclasses import dataclass

from bamboolever.calls.engine import EngineLoad
from bamboolever.calls.placement import PendingCall
from bamboolever.calls.upstream import UpstreamView
from bamboolever.config.model import EngineProfile, Route, RouteKind, ServiceShare
from bamboolever.daemons.agent import Agent
from bamboolever.daemons.entry import Entry
from bamboolever.fleet.records import LayerRange, LoadedModel, UpstreamRecord
from bamboolever.net.addresses import Address
from bamboolever.platform.nodefile import decode_settings
from bamboolever.platform.standins.site import API_KEY, HOST
from bamboolever.platform.standins.upstream import MODEL

WAIT_S = 30.0
POLL_S = 0.01

_serial = itertools.count(1)


def make_record(instance_id="up-1", **changes):
    content = {
        "instance_id": instance_id,
        "service": "model-service",
        "address": Address("127.0.0.1", 9000 + next(_serial)),
        "availability_zone": "zone-a",
        "slots": 4,
        "is_draining": False,
        "started_ms": 1,
        "models": (LoadedModel(MODEL, 1, LayerRange(0, 4, 1)),),
        **changes,
    }
    return UpstreamRecord(**content)


def make_view(instance_id="up-1", *, peer_load=None, **changes):
    view = UpstreamView(make_record(instance_id, **changes))
    view.layers = 4
    if peer_load is not None:
        view.peer_load = EngineLoad(**peer_load)
    return view


def make_profile(**changes):
    content = {
        "slots": 4,
        "step_s": 0.0074,
        "step_per_sequence_s": 0.00004,
        "step_per_context_token_s": 2e-8,
        "prefill_tokens_per_s": 31900.0,
        "prefill_s_per_token_pair": 0.0,
        "chunk_tokens": 2048,
        "steps_per_pass": 6,
        "typical_prompt_tokens": 1000.0,
        "typical_response_tokens": 100.0,
        "layers": 4,
        "models": (MODEL,),
        "warm_up_s": 0.3,
        **changes,
    }
    return EngineProfile(**content)


def make_pending(call_id=None, **changes):
    content = {
        "call_id": call_id or next(_serial),
        "arrived_at": 0.0,
        "target_at": 0.4,
        "timeout_at": 6.0,
        "prompt_tokens": 1000,
        "model": MODEL,
        **changes,
    }
    return PendingCall(**content)


def make_route(name="route-1", **changes):
    content = {
        "name": name,
        "host": HOST,
        "path_prefix": "/a/",
        "kind": RouteKind.IDEMPOTENT,
        "targets": (ServiceShare("service-1", 1.0),),
        "timeout_s": 5.0,
        "target_latency_s": 0.4,
        **changes,
    }
    return Route(**content)


@dataclass
class CallerResponse:
    """A response as its caller received it; ``is_complete`` is False after a cut."""

    status: int
    headers: dict
    body: bytes
    is_complete: bool


class RunningEntry:
    """An entry on a thread of this process."""

    def __init__(self, site, name="entry-1", host="127.0.0.1", **bounds):
        document = site.make_settings(name=name, host=host)
        document["bounds"].update(bounds)
        self.settings = decode_settings(document)
        self.entry = Entry.from_config(self.settings)
        self._thread = threading.Thread(target=self._run, daemon=True)
        self._thread.start()

    def _run(self):
        self.entry.run()
        # As the end of a process does.
        for connection in self.list_connections():
            connection._sock.close()

    def list_connections(self):
        return list(self.entry.caller_port.server._connections)

    def await_callbacks(self):
        """Wait until it has run all callbacks that are under way or queued now."""
        passed = threading.Event()
        self.entry.task.send(passed.set)
        wait_for(lambda: passed.is_set() or not self._thread.is_alive())

    def wait_ready(self, upstreams=1):
        wait_for(lambda: self.entry.is_ready())
        wait_for(lambda: len(self.entry.fleet._views) >= upstreams)
        return self

    def stop(self):
        self.entry.task.stop()
        self._thread.join(WAIT_S)

    def connect(self):
        address = self.settings.caller_address
        return http.client.HTTPConnection(*address, timeout=WAIT_S)

    def call(self, path, *, connection=None, method="POST", **headers):
        connection = connection or self.connect()
        connection.request(method, path, b"body", make_headers(**headers))
        return read_response(connection)


class RunningAgent:
    """An agent on a thread of this process."""

    def __init__(self, site, upstream, name="agent"):
        document = site.make_settings(
            name=name, host=upstream.address.host, upstream=upstream
        )
        self.agent = Agent.from_config(decode_settings(document))
        self._thread = threading.Thread(target=self.agent.run, daemon=True)
        self._thread.start()

    def stop(self):
        self.agent.task.send(self.agent.request_stop)
        self._thread.join(WAIT_S)


def make_headers(**changes):
    attempt = f"attempt-{next(_serial)}"
    headers = {
        "Host": HOST,
        "Bamboolever-Attempt-Id": attempt,
        "Bamboolever-Deadline-Remaining": "5000",
        "Authorization": f"Token {API_KEY}",
    }
    for name, value in changes.items():
        headers[name.replace("_", "-")] = value
    return {name: value for name, value in headers.items() if value is not None}


def make_stream_headers(**changes):
    return {
        "Bamboolever_Model": MODEL,
        "Bamboolever_Token_Counts": "500,60",
        "Bamboolever_Prompt_Prefix": "5c1e07a2:400,91bd3f06:100",
        **changes,
    }


def read_response(connection):
    response = connection.getresponse()
    is_complete = True
    try:
        body = response.read()
    except http.client.IncompleteRead as error:
        body, is_complete = error.partial, False
    return CallerResponse(
        response.status, dict(response.getheaders()), body, is_complete
    )


def wait_for(condition, *, limit_s=WAIT_S):
    """Poll ``condition`` until it returns a true value, and return that value.

    Fails after ``limit_s`` seconds. It polls, because other threads and processes do
    not signal that their state changed.
    """
    deadline = time.monotonic() + limit_s
    never_set = threading.Event()
    while not (found := condition()):
        assert time.monotonic() < deadline, "the condition was not met in time"
        never_set.wait(POLL_S)
    return found


def views_of(entry):
    return entry.entry.fleet._views
