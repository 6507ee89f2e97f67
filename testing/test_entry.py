"""End-to-end tests of entry and agent as real processes.

They cover calls, configuration changes, weight rollouts, invalid input, crashes and
graceful stops.
"""

import dataclasses
import hashlib
import http.client
import json
import os
import signal
import socket
import subprocess
import sys
import time
import urllib.parse

import pytest
import sitebuilders
from builders import make_claim, make_contract, make_record, make_service

from bamboolever._claims import find_claim_shard
from bamboolever._claimwriter import _write_batch
from bamboolever._documents import DocumentKey
from bamboolever._operator import (
    apply_changes,
    plan_changes,
    read_status,
    set_drain,
    start_rollout,
)
from bamboolever._origin import HttpOrigin
from bamboolever._platform import HttpPlatform
from bamboolever._standins.engine import expected_text

KEY = "shared-key-of-tests"
WAIT_S = 60.0
MAX_DAEMON_RSS_BYTES = 64 * 10**6


class Processes:
    """Starts the project's programs and kills those that it started."""

    def __init__(self, directory):
        self.directory = directory
        self.started = []

    def start(self, *arguments):
        log = open(self.directory / f"{len(self.started)}.log", "w+")
        process = subprocess.Popen(
            [sys.executable, "-m", "bamboolever._cli", *arguments],
            stdout=subprocess.PIPE,
            stderr=log,
            text=True,
            env={**os.environ, "PYTHONUNBUFFERED": "1"},
        )
        process.log = log
        self.started.append(process)
        return process

    def start_stand_in(self, *arguments):
        process = self.start("stand-in", *arguments, "--port", "0")
        return process.stdout.readline().strip()

    def start_daemon(self, role, **settings):
        path = self.directory / f"{settings['instance_id']}.toml"
        platform = settings.pop("platform")
        lines = [f"{key} = {json.dumps(value)}" for key, value in settings.items()]
        lines += ["[platform]", f'url = "{platform}"']
        path.write_text("\n".join(lines))
        process = self.start(role, "--settings", str(path))
        process.ports = wait_for(lambda: read_ports(process))
        return process

    def stop(self):
        for process in self.started:
            if process.poll() is None:
                process.kill()
            process.wait(WAIT_S)
            process.stdout.close()
            process.log.close()


def read_ports(process):
    process.log.flush()
    text = open(process.log.name).read()
    assert process.poll() is None, text
    for line in text.splitlines():
        if line.startswith("{") and json.loads(line)["message"] == "started":
            return json.loads(line)
    return None


def wait_for(condition):
    return sitebuilders.wait_for(condition, limit_s=WAIT_S)


class Deployment:
    """An entry, two agents with their upstreams, an origin and a platform.

    Each is a process. ``agent`` runs the model service "engraver" and ``jobs`` the
    plain service "orders".
    """

    def __init__(self, processes, *, status_period="200 ms"):
        self.processes = processes
        self.platform_url = processes.start_stand_in("platform")
        self.origin_url = processes.start_stand_in("origin", "--chunk-kb", "16")
        self.engine_url = processes.start_stand_in("engine")
        self.jobs_url = processes.start_stand_in("engine", "--kind", "plain")
        self.platform = HttpPlatform(
            self.platform_url, timeout_s=5.0, calls_per_second=1000.0
        )
        self.agent = self.start_agent("agent-1", "engraver", "model", self.engine_url)
        self.jobs = self.start_agent("agent-2", "orders", "plain", self.jobs_url)
        self.entry = processes.start_daemon(
            "entry",
            instance_id="entry-1",
            caller_port=0,
            admin_port=0,
            balancer_delay="50 ms",
            status_period=status_period,
            **self.common_settings(),
        )
        self.port = self.entry.ports["caller_port"]
        record = make_record("entry-1", "entry", service="", port=self.port)
        content = {"record": dataclasses.asdict(record)}
        send(self.platform_url, "PUT", "/instances", json.dumps(content))
        self.put_documents()
        self.weights = {}

    def common_settings(self):
        return {
            "region": "cape",
            "availability_zone": "cape-1",
            "shared_keys": [KEY],
            "platform": self.platform_url,
        }

    def start_agent(self, instance_id, service, kind, upstream_url):
        agent = self.processes.start_daemon(
            "agent",
            instance_id=instance_id,
            service=service,
            kind=kind,
            port=0,
            admin_port=0,
            origin_url=self.origin_url,
            upstream_url=upstream_url,
            **self.common_settings(),
        )
        record = make_record(instance_id, service=service, port=agent.ports["port"])
        content = {"record": dataclasses.asdict(record)}
        send(self.platform_url, "PUT", "/instances", json.dumps(content))
        return agent

    def put_documents(self):
        documents = {
            DocumentKey("contracts", "studio-a"): make_contract(),
            DocumentKey("services", "engraver"): make_service(),
            DocumentKey("services", "orders"): make_service("orders", kind="plain"),
        }
        apply_changes(self.platform, plan_changes(self.platform, documents), "test")

    def roll_out(self, version):
        published = {"model": "engraver", "version": version, "size_bytes": 200_000}
        send(self.origin_url, "POST", "/_versions", json.dumps(published))
        start_rollout(
            self.platform,
            HttpOrigin(self.origin_url),
            service="engraver",
            model="engraver",
            version=version,
            operator="test",
        )
        wait_for(lambda: self.read_model()["version"] == version)
        wait_for(lambda: self.complete("warm up").status == 200)

    def read_model(self):
        return json.loads(send(self.engine_url, "GET", "/model")[1])

    def complete(self, prompt, **changes):
        body = {"model": "engraver", "prompt": prompt, "max_tokens": 4, **changes}
        return self.call("POST", "/v1/completions", json.dumps(body))

    def call(self, method, path, body="", **headers):
        connection = http.client.HTTPConnection("127.0.0.1", self.port, timeout=WAIT_S)
        connection.request(
            method,
            path,
            body=body,
            headers={"Authorization": "Bearer key-a", **headers},
        )
        response = connection.getresponse()
        response.content = response.read()
        connection.close()
        return response


def send(url, method, path, body=None, headers=None):
    parts = urllib.parse.urlsplit(url)
    connection = http.client.HTTPConnection(parts.hostname, parts.port, timeout=WAIT_S)
    connection.request(method, path, body=body, headers=headers or {})
    response = connection.getresponse()
    content = response.read()
    connection.close()
    return response.status, content


@pytest.fixture(scope="module")
def processes(tmp_path_factory):
    launcher = Processes(tmp_path_factory.mktemp("processes"))
    yield launcher
    launcher.stop()


@pytest.fixture(scope="module")
def deployment(processes):
    new_deployment = Deployment(processes)
    new_deployment.roll_out("v1")
    return new_deployment


def read_text(response):
    return json.loads(response.content)["choices"][0]["text"]


def test_plain_and_streamed_responses_are_complete(deployment):
    digest = deployment.read_model()["weights_digest"]
    plain = deployment.complete("name a bottle")
    assert read_text(plain) == expected_text(digest, "name a bottle", 4)
    assert plain.headers["X-Bamboolever-Outcome"] == "ran"
    streamed = deployment.complete("name a bottle", stream=True)
    events = streamed.content.split(b"\n\n")
    assert events[4] == b"data: [DONE]"
    tokens = [json.loads(e[6:])["choices"][0]["text"] for e in events[:4]]
    assert "".join(tokens) == expected_text(digest, "name a bottle", 4)


def test_entry_and_agent_log_the_request_id(deployment):
    body = json.dumps({"model": "engraver", "prompt": "traced", "max_tokens": 4})
    headers = {"X-Request-Id": "trace-of-a-test"}
    response = deployment.call("POST", "/v1/completions", body, **headers)
    assert response.headers["X-Request-Id"] == "trace-of-a-test"
    for daemon in (deployment.entry, deployment.agent):
        log = daemon.log.name
        wait_for(lambda log=log: "trace-of-a-test" in open(log).read())


def test_a_job_runs_once_and_its_repeat_gets_the_recorded_response(deployment):
    headers = {"Idempotency-Key": "job-1"}
    path = "/services/orders/jobs"
    first = deployment.call("POST", path, "etch", **headers)
    again = deployment.call("POST", path, "etch", **headers)
    assert (first.status, again.status) == (200, 200)
    assert first.content == again.content
    other = deployment.call("POST", path, "other", **headers)
    assert other.status == 422
    runs = json.loads(send(deployment.jobs_url, "GET", "/_runs")[1])
    assert runs["studio-a/orders/job-1"] == 1


def test_a_quarantined_request_is_refused_until_the_quarantine_is_deleted(deployment):
    body = json.dumps({"model": "engraver", "prompt": "odd", "max_tokens": 4})
    seed = b"POST\0engraver\0/v1/completions\0" + body.encode()
    digest = hashlib.sha256(seed).hexdigest()
    revision = deployment.platform.write(
        "quarantine", digest, b"{}", expected_revision=0
    )
    wait_for(lambda: deployment.complete("odd").status == 422)
    status = read_status(deployment.platform).entries[0]
    assert status["refused_documents"] == []
    deployment.platform.delete("quarantine", digest, expected_revision=revision)
    wait_for(lambda: deployment.complete("odd").status == 200)


def test_a_drained_instance_gets_no_new_calls(deployment):
    set_drain(deployment.platform, "agent-2", "test")
    path = "/services/orders/jobs"
    headers = {"Idempotency-Key": "job-drain", "X-Timeout-Ms": "300"}
    # A repeated key gets the recorded response, so each call needs a new one.
    wait_for(
        lambda: (
            deployment.call("POST", path, "x", **headers).status in (503, 504)
            or headers.update({"Idempotency-Key": os.urandom(8).hex()})
        )
    )
    stored = deployment.platform.get("drains", "agent-2")
    deployment.platform.delete("drains", "agent-2", expected_revision=stored.revision)
    deployment.jobs.send_signal(signal.SIGTERM)
    assert deployment.jobs.wait(WAIT_S) == 0
    deployment.jobs = deployment.start_agent(
        "agent-4", "orders", "plain", deployment.jobs_url
    )
    headers = {"Idempotency-Key": "job-after"}
    wait_for(lambda: deployment.call("POST", path, "x", **headers).status == 200)


def test_a_job_claimed_by_a_lost_entry_is_unknown_and_not_run_again(deployment):
    key = "studio-a/orders/job-lost"
    body_digest = hashlib.sha256(b"POST\0orders\0/jobs\0etch").hexdigest()
    claim = make_claim(
        key, body=body_digest, holder="entry-gone", claimed_at=time.time()
    )
    _write_batch(deployment.platform, find_claim_shard(key), [claim])
    headers = {"Idempotency-Key": "job-lost"}
    response = deployment.call("POST", "/services/orders/jobs", "etch", **headers)
    assert response.status == 409
    assert json.loads(response.content)["error"]["code"] == "earlier-outcome-unknown"
    assert response.headers["X-Bamboolever-Outcome"] == "unknown"
    runs = json.loads(send(deployment.jobs_url, "GET", "/_runs")[1])
    assert key not in runs


@pytest.mark.parametrize(
    ("method", "path", "body", "headers", "status", "code"),
    [
        ("POST", "/v1/completions", "{", {}, 400, "bad-request"),
        ("POST", "/v1/completions", '{"model": 3}', {}, 400, "bad-request"),
        ("POST", "/v1/completions", '{"model": "x"}', {}, 404, "unknown-service"),
        ("GET", "/elsewhere", "", {}, 404, "unknown-route"),
        ("GET", "/services/orders/x", "", {}, 404, "unknown-route"),
        (
            "POST",
            "/services/orders/jobs",
            "x",
            {},
            400,
            "idempotency-key-required",
        ),
        (
            "POST",
            "/services/orders/jobs",
            "x",
            {"Idempotency-Key": "k" * 201},
            400,
            "bad-request",
        ),
        (
            "POST",
            "/services/orders/jobs",
            "x",
            {"Idempotency-Key": "k", "X-Timeout-Ms": "-5"},
            400,
            "bad-request",
        ),
        (
            "POST",
            "/v1/completions",
            "{}",
            {"Authorization": "Bearer nobody"},
            401,
            "unknown-api-key",
        ),
    ],
)
def test_bad_requests_are_refused_as_not_run(
    deployment, method, path, body, headers, status, code
):
    response = deployment.call(method, path, body, **headers)
    assert response.status == status
    assert json.loads(response.content)["error"]["code"] == code
    assert response.headers["X-Bamboolever-Outcome"] == "not-run"


def exchange(port, *parts):
    with socket.create_connection(("127.0.0.1", port), timeout=WAIT_S) as sock:
        for part in parts:
            sock.sendall(part)
        received = b""
        try:
            while data := sock.recv(65536):
                received += data
        except ConnectionResetError:
            pass
        return received


@pytest.mark.parametrize(
    ("parts", "status"),
    [
        ([b"NONSENSE\r\n\r\n"], b"400"),
        ([b"GET / HTTP/1.1\r\nHost: x\r\nX: " + b"a" * 40_000], b"431"),
        (
            [b"POST /v1/x HTTP/1.1\r\nHost: x\r\nContent-Length: 99999999\r\n\r\n"],
            b"413",
        ),
        ([b"POST / HTTP/1.1\r\nHost: x\r\nContent-Length: -1\r\n\r\n"], b"400"),
        (
            [b"GET /v1/", b"x HTTP/1.1\r\nHo", b"st: x\r\nConnection: close\r\n\r\n"],
            b"401",
        ),
    ],
)
def test_malformed_http_gets_an_error_and_the_entry_keeps_serving(
    deployment, parts, status
):
    assert exchange(deployment.port, *parts).split(b" ")[1] == status
    assert deployment.complete("still here").status == 200


def test_garbage_on_the_agents_port_closes_only_that_connection(deployment):
    for garbage in (b"GET / HTTP/1.1\r\n\r\n", b"\xff" * 64, b"\0\0\0\4abcd"):
        exchange(deployment.agent.ports["port"], garbage)
    assert deployment.complete("still here").status == 200


def test_metrics_on_the_admin_port_require_a_shared_key(deployment):
    url = f"http://127.0.0.1:{deployment.entry.ports['admin_port']}"
    assert send(url, "GET", "/ready")[0] == 200
    assert send(url, "GET", "/metrics")[0] == 401
    status, text = send(
        url, "GET", "/metrics", None, {"Authorization": f"Bearer {KEY}"}
    )
    assert status == 200
    assert b'refusals{reason="unknown-api-key"}' in text


def test_an_idle_daemon_stays_under_its_memory_limit(deployment):
    status = wait_for(
        lambda: (found := read_status(deployment.platform)).entries and found
    )
    assert status.entries[0]["rss_bytes"] < MAX_DAEMON_RSS_BYTES
    assert len(status.agents) == 2
    for agent in status.agents:
        assert agent["rss_bytes"] < MAX_DAEMON_RSS_BYTES


def test_a_second_version_is_loaded_with_a_swap_slot(deployment):
    deployment.roll_out("v1b")
    digest = deployment.read_model()["weights_digest"]
    response = deployment.complete("second version")
    assert read_text(response) == expected_text(digest, "second version", 4)
    slots = wait_for(lambda: deployment.platform.get("swap-slots", "engraver.0"))
    assert b"agent-1" in slots.value or slots.value == b"[]"


def test_the_replacement_of_a_killed_agent_loads_the_target(deployment):
    deployment.agent.send_signal(signal.SIGKILL)
    deployment.agent.wait(WAIT_S)
    agent = deployment.start_agent(
        "agent-3", "engraver", "model", deployment.engine_url
    )
    deployment.agent = agent
    deployment.roll_out("v2")
    digest = deployment.read_model()["weights_digest"]
    response = deployment.complete("after the kill")
    assert read_text(response) == expected_text(digest, "after the kill", 4)


def test_with_the_store_down_calls_succeed_and_jobs_are_refused(deployment):
    down = json.dumps({"is_down": True})
    send(deployment.platform_url, "POST", "/_faults", down)
    try:
        assert deployment.complete("no store").status == 200
        job = deployment.call(
            "POST", "/services/orders/jobs", "x", **{"Idempotency-Key": "job-down"}
        )
        assert job.status == 503
        assert job.headers["X-Bamboolever-Outcome"] == "not-run"
    finally:
        up = json.dumps({"is_down": False})
        send(deployment.platform_url, "POST", "/_faults", up)


def test_a_stream_completes_after_sigterm(deployment):
    connection = http.client.HTTPConnection(
        "127.0.0.1", deployment.port, timeout=WAIT_S
    )
    body = {"model": "engraver", "prompt": "slow", "max_tokens": 100, "stream": True}
    connection.request(
        "POST",
        "/v1/completions",
        body=json.dumps(body),
        headers={"Authorization": "Bearer key-a"},
    )
    response = connection.getresponse()
    first = response.readline()
    deployment.entry.send_signal(signal.SIGTERM)
    rest = response.read()
    assert first.startswith(b"data: ")
    assert rest.count(b"data: ") == 100
    assert rest.endswith(b"data: [DONE]\n\n")
    assert deployment.entry.wait(WAIT_S) == 0
