"""A machine that lost the store names the tenant of a key that was taken away."""

import time
from pathlib import Path

from loopback import (
    BROKEN,
    HELD,
    TROUBLE,
    CannotRun,
    Program,
    Requester,
    Store,
    Worker,
    answer_soundly,
    configuration,
    free_host,
    plain_service,
    route,
    run_case,
    settings,
)

KEY = "keyofstudioa"
OTHER_KEY = "keyofstudiob"
REVOCATION_S = 5.0
REQUESTS = 10
SETTLED_S = 3.5


def make_configuration(version, keys):
    """Return the configuration; the route of catalogue look-ups needs no key."""
    return configuration(
        version,
        [
            route("orders", "/orders/", "non_idempotent", "orders"),
            route(
                "catalogue", "/catalogue/", "idempotent", "orders", allowAnonymous=True
            ),
        ],
        [plain_service("orders")],
        [
            {"name": "studioa", "apiKeys": keys, "priority": 1},
            {"name": "studiob", "apiKeys": [OTHER_KEY], "priority": 1},
        ],
    )


def answer(worker, handler, body):
    """Run the request, and record the tenant that it names."""
    attempt = handler.headers.get("Bamboolever-Attempt-Id", "")
    worker.tenants[attempt] = handler.headers.get("Bamboolever-Tenant")
    answer_soundly(worker, handler, body)


def ask(record, requester, number, path):
    """Send one request with the key of studio A; return its attempt id and status."""
    attempt = f"{number:016x}"
    requester.send("GET", path, attempt, KEY)
    status = requester.read()[0]
    record.add(f"requester: {attempt} GET {path} with {KEY} answered {status}")
    return attempt, status


def case(record, scratch, closers):
    """Return whether the worker was told a tenant that does not hold the key."""
    host = free_host()
    store = Store(host, record)
    worker = Worker(host, record, "i-7f3a91c2", answer)
    worker.tenants = {}
    store.put("servers", worker.instance_id, worker.entry("orders", "cape-a"))
    store.put("config", "main", make_configuration(7, [KEY]))
    program = Program("entry", settings(store.address, host), scratch)
    closers.append(program)
    program.wait_ready()
    time.sleep(SETTLED_S)
    # An open connection stays with its machine, also while that is not ready.
    requester = Requester(program)
    closers.append(requester)
    attempt, status = ask(record, requester, 1, "/catalogue/1")
    if status != 200 or worker.tenants.get(attempt) != "studioa":
        raise CannotRun("the key was not taken for its tenant's at the start")
    if TROUBLE:
        store.cut()
    note = ": version 10, the key of studio A is taken away"
    store.put("config", "main", make_configuration(10, []), note=note)
    time.sleep(REVOCATION_S + 1.0)
    wrong = 0
    for number in range(2, 2 + REQUESTS):
        attempt, _ = ask(record, requester, number, f"/catalogue/{number}")
        tenant = worker.tenants.get(attempt)
        record.add(f"worker was told the tenant {tenant!r}")
        wrong += attempt in worker.tenants and tenant is not None
    _, status = ask(record, requester, 99, "/orders/99")
    record.add(f"told a tenant that does not hold the key: {wrong} of {REQUESTS}")
    return BROKEN if wrong else HELD


run_case(Path(__file__).parent, case)
