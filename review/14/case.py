"""A key that was taken away works again after the store came back from a copy."""

import signal
import sys
import threading
import time
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "standins_3"))

import deployment  # noqa: E402

SERVICE, PATH = "lehu44b", "/filo73/"
MODEL, MODEL_SERVICE = "daka510000", "huvo11a"
REVOKED_KEY = "xw2kq7hfr1odsu5ybnc4"
REVOCATION_S = 5.0
# Times after the store has acknowledged the configuration without the key.
RESTORED_AT_S, WRITTEN_AGAIN_AT_S, END_S = 4.0, 8.0, 12.0
WORK_S = 0.02


def put_configuration(site, origin, version, keys):
    """Write a version of the configuration; return when the store had taken it."""
    routes = [
        deployment.plain_route(PATH, "non_idempotent", SERVICE),
        deployment.model_route("/lepu270/", MODEL_SERVICE),
    ]
    services = [
        {"name": SERVICE, "healthCheckPath": "/health", "maxConnections": 110},
        deployment.model_service(MODEL_SERVICE, MODEL),
        deployment.origin_service(origin),
    ]
    site.put_configuration(routes, services, version, keys)
    taken = threading.Event()
    site.store.task.send(taken.set)
    taken.wait(5.0)
    site.record.write(f"the store has version {version} with {len(keys)} keys")
    return time.monotonic()


def restore(site, name):
    """Bring the store back from its copy, as a machine is killed and starts again."""
    site.store.restore_copy()
    site.record.write("the store comes back from its copy")
    site.send_signal(name, signal.SIGKILL)
    site.processes[name].wait()
    site.start(name)


def call_both(site, entries, left_at):
    """Send a request with each key to each entry; return what is counted."""
    late = 0
    for entry in entries:
        if site.processes[entry].poll() is None and site.is_ready(entry):
            age_s = time.monotonic() - left_at
            status, _, _ = site.call(entry, PATH + "de11", timeout_s=1.5)
            revoked, _, _ = site.call(
                entry,
                PATH + "de11",
                timeout_s=1.5,
                Authorization=f"Token {REVOKED_KEY}",
            )
            if revoked == 200 and age_s > REVOCATION_S:
                late += 1
                site.record.write(
                    f"{entry} served the key that was taken away {age_s:.2f} s ago"
                    f" (its own key: {status})"
                )
    return late


def play(site):
    """Play the case; return whether the rule held."""
    model_host = site.hosts[2]
    origin = deployment.Origin(
        model_host, deployment.find_port([model_host]), site.record, {MODEL: 1}
    )
    for number, host in enumerate(site.hosts[3:]):
        port = deployment.find_port([host])
        name = f"i-{number}"
        site.add_worker(
            deployment.PlainWorker(host, port, site.record, name, SERVICE, WORK_S)
        )
    # Its agent makes the entries known to each other.
    port = deployment.find_port([model_host])
    engine = deployment.Worker(
        model_host, port, site.record, "i-model", MODEL, 1, MODEL_SERVICE
    )
    site.add_worker(engine)
    keys = (deployment.API_KEY, REVOKED_KEY)
    put_configuration(site, origin, 1, keys)
    time.sleep(0.3)
    site.start_agent("agent-0", model_host, engine)
    entries = ["entry-0", "entry-1"]
    for name, host in zip(entries, site.hosts, strict=False):
        site.start_entry(name, host)
    for name in entries:
        site.await_ready(name)
    status, _, _ = site.call("entry-1", PATH + "x", Authorization=f"Token {keys[1]}")
    if status != 200:
        raise RuntimeError("the key did not work before it was taken away")
    time.sleep(2.0)
    site.store.save_copy()
    site.record.write("the store keeps a copy")
    time.sleep(1.0)
    left_at = put_configuration(site, origin, 3, keys[:1])
    late, is_restored, is_written = 0, False, False
    while (age_s := time.monotonic() - left_at) < END_S:
        if deployment.is_troubled() and not is_restored and age_s >= RESTORED_AT_S:
            is_restored = True
            restore(site, "entry-1")
        if is_restored and not is_written and age_s >= WRITTEN_AGAIN_AT_S:
            is_written = True
            put_configuration(site, origin, 3, keys[:1])
        late += call_both(site, entries, left_at)
        time.sleep(0.1)
    site.record.write(
        f"requests with the key that ran, sent later than {REVOCATION_S} s after the "
        f"store had acknowledged that it is gone: {late}"
    )
    site.record.write(f"CONFIG held: {not late}")
    origin.close()
    return not late


def main():
    """Run the case and return its exit code."""
    site = None
    try:
        site = deployment.Deployment(FOLDER, host_count=5)
        is_held = play(site)
    except Exception as error:  # noqa: BLE001
        print(f"could not run: {error!r}", file=sys.stderr)
        return deployment.COULD_NOT_RUN
    finally:
        if site is not None:
            site.close()
    return deployment.HELD if is_held else deployment.BROKEN


if __name__ == "__main__":
    sys.exit(main())
