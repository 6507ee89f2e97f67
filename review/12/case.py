"""One machine's bad way to the store keeps workers that have left in use everywhere."""

import sys
import threading
import time
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "standins_3"))

import deployment  # noqa: E402

SERVICE, PATH = "lehu44b", "/filo73/"
DRAIN_TIMEOUT_S = 2.0
# The way of one machine to the store is cut for a moment, again and again.
CUT_S, HEALED_S, CUTS = 0.7, 0.5, 19
# Workers leave after these cuts, each serves for so long after it has left.
LEAVE_AFTER = (4, 7, 10)
WORKERS = 5
SERVES_ON_S = 6.0
WORK_S = 0.12
CALLERS = 4


def find_watcher(proxies):
    """Return the name of the entry that calls the store for the others."""
    before = {name: proxy.call_count for name, proxy in proxies.items()}
    time.sleep(4.0)
    counts = {name: proxies[name].call_count - before[name] for name in proxies}
    return max(counts, key=counts.__getitem__), counts


def leave(site, worker):
    """Remove the worker's entry; return when the store had surely accepted that."""
    worker.is_registered = False
    site.store.delete("servers", worker.name)
    removed = threading.Event()
    site.store.task.send(removed.set)
    removed.wait(5.0)
    site.record.write(f"the store has accepted that worker {worker.name} is gone")
    return time.monotonic()


def call_often(site, entries, stop):
    """Send requests one after the other to the entries in turn."""
    number = 0
    while not stop.is_set():
        site.call(entries[number % len(entries)], PATH + "de11", timeout_s=1.5)
        number += 1
        time.sleep(0.05)


def start(site):
    """Start the deployment; return the proxies by entry, and what is to be closed."""
    model, model_name = "daka510000", "huvo11a"
    *entry_hosts, model_host = site.hosts[:4]
    port = deployment.find_port([model_host])
    origin = deployment.Origin(model_host, port, site.record, {model: 1})
    site.put_configuration(
        [
            deployment.plain_route(PATH, "non_idempotent", SERVICE),
            deployment.model_route("/lepu270/", model_name),
        ],
        [
            {"name": SERVICE, "healthCheckPath": "/health", "maxConnections": 110},
            deployment.model_service(model_name, model),
            deployment.origin_service(origin),
        ],
    )
    for number, host in enumerate(site.hosts[4:]):
        port = deployment.find_port([host])
        name = f"i-{number}"
        site.add_worker(
            deployment.PlainWorker(host, port, site.record, name, SERVICE, WORK_S)
        )
    # Its agent makes the entries known to each other.
    port = deployment.find_port([model_host])
    engine = deployment.Worker(
        model_host, port, site.record, "i-model", model, 1, model_name
    )
    site.add_worker(engine)
    time.sleep(0.3)
    site.start_agent("agent-0", model_host, engine)
    proxies = {}
    for number, host in enumerate(entry_hosts):
        name = f"entry-{number}"
        port = deployment.find_port([host])
        proxies[name] = deployment.StoreProxy(host, port, site.store.address)
        site.start_entry(name, host, proxies[name].address)
    for name in proxies:
        site.await_ready(name)
    return proxies, [origin, *proxies.values()]


def cut_again_and_again(site, name, proxy):
    """Cut the way of one entry to the store; return the workers that left, and when."""
    left = []
    for number in range(CUTS):
        if deployment.is_troubled():
            site.record.write(f"the way of {name} to the store is cut")
            proxy.cut()
        time.sleep(CUT_S)
        proxy.heal()
        site.record.write(f"the way of {name} to the store is whole")
        time.sleep(HEALED_S / 2)
        if number in LEAVE_AFTER:
            worker = site.workers[len(left)]
            left.append((worker, leave(site, worker)))
            threading.Timer(SERVES_ON_S, worker.exit).start()
        time.sleep(HEALED_S / 2)
    return left


def count_late(site, worker, left_at, others):
    """Return how many requests reached a worker too late, and record them."""
    late = [at - left_at for at, _ in worker.arrivals if at - left_at > DRAIN_TIMEOUT_S]
    site.record.write(
        f"requests that reached worker {worker.name} later than {DRAIN_TIMEOUT_S} s "
        f"after the store had accepted that it is gone, sent by {others}: {len(late)}"
        + (f", the last after {max(late):.2f} s" if late else "")
        + f"; lost as it exited: {len(worker.unanswered)}"
    )
    return len(late)


def play(site):
    """Play the case; return whether the rule held."""
    proxies, to_close = start(site)
    watcher, counts = find_watcher(proxies)
    site.record.write(f"parts of calls to the store: {counts}; {watcher} watches it")
    others = [name for name in proxies if name != watcher]
    stop = threading.Event()
    callers = [
        threading.Thread(target=call_often, args=(site, others, stop))
        for _ in range(CALLERS)
    ]
    for caller in callers:
        caller.start()
    left = cut_again_and_again(site, watcher, proxies[watcher])
    time.sleep(1.0)
    stop.set()
    for caller in callers:
        caller.join()
    late = sum(count_late(site, worker, left_at, others) for worker, left_at in left)
    site.record.write(f"DRAIN held: {not late}")
    if not any(at < left_at for worker, left_at in left for at, _ in worker.arrivals):
        raise RuntimeError("the workers were never used")
    for each in to_close:
        each.close()
    return not late


def main():
    """Run the case and return its exit code."""
    site = None
    try:
        site = deployment.Deployment(FOLDER, host_count=4 + WORKERS)
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
