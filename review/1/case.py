"""All API keys are taken away; then requests come with taken and with made-up keys."""

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
    configuration,
    free_host,
    plain_service,
    route,
    run_case,
    settings,
)

TENANTS = 10
KEYS_PER_TENANT = 2
# The site file of the small deployment takes away 3 keys in one disturbance.
KEYS_PER_REVOCATION = 3
REVOCATION_S = 5.0
MADE_UP_KEY = "neverheldbyanybody00"


def make_configuration(version, keys):
    """Return the configuration with these keys of each tenant."""
    return configuration(
        version,
        [
            route("orders", "/orders/", "non_idempotent", "orders"),
            route("lookup", "/lookup/", "idempotent", "orders"),
        ],
        [plain_service("orders")],
        [
            {"name": name, "apiKeys": list(held), "priority": 1}
            for name, held in keys.items()
        ],
    )


def ask(record, program, number, key):
    """Send one order with a key, and return its attempt id and status."""
    attempt = f"{number:016x}"
    requester = Requester(program)
    requester.send("POST", f"/orders/{number}", attempt, key, b"order")
    status = requester.read()[0]
    requester.close()
    record.add(f"requester: {attempt} with key {key} answered {status}")
    return attempt, status


def case(record, scratch, closers):
    """Return whether a request ran with a key that no configuration in force holds."""
    host = free_host()
    store = Store(host, record)
    worker = Worker(host, record, "i-7f3a91c2")
    keys = {
        f"tenant{number}": [f"key{number}of{each}" for each in range(KEYS_PER_TENANT)]
        for number in range(TENANTS)
    }
    store.put("servers", worker.instance_id, worker.entry("orders", "cape-a"))
    version = 7
    store.put("config", "main", make_configuration(version, keys))
    program = Program("entry", settings(store.address, host), scratch)
    closers.append(program)
    program.wait_ready()
    every_key = [(name, key) for name, held in keys.items() for key in held]
    for number, (_, key) in enumerate(every_key):
        if ask(record, program, number, key)[1] != 200:
            raise CannotRun("a request with a good key was not served")
    if ask(record, program, 99, MADE_UP_KEY)[1] != 401:
        raise CannotRun("a made-up key was not refused at the start")
    taken = []
    while TROUBLE and any(keys.values()):
        # A tenant loses all its keys before the next one does.
        for _ in range(KEYS_PER_REVOCATION):
            name = next((name for name, held in keys.items() if held), None)
            if name is not None:
                taken.append(keys[name].pop())
        version += 3
        note = f": version {version}, {sum(map(len, keys.values()))} keys left"
        store.put("config", "main", make_configuration(version, keys), note=note)
        time.sleep(0.3)
    time.sleep(REVOCATION_S + 1.0)
    late = [ask(record, program, 200 + n, key) for n, key in enumerate(taken)]
    late.append(ask(record, program, 300, MADE_UP_KEY))
    late.append(ask(record, program, 301, None))
    ran = [attempt for attempt, _ in late if attempt in worker.run]
    record.add(f"ran with a taken, made-up or missing key: {len(ran)} of {len(late)}")
    return BROKEN if ran else HELD


run_case(Path(__file__).parent, case)
