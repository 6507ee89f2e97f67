"""After the restart of one entry, the others miss that a worker drains."""

import asyncio
import signal
import sys
import time
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "standins_2"))

import harness  # noqa: E402
import storeproxy  # noqa: E402

ENTRIES = 3
DRAIN_S = 2.0
# The worker serves for `drainTimeoutMs` "and a little longer".
SERVES_ON_S = 2.27
GRACE_S = 8.0
RESTART_DELAY_S = 0.2
DRAINS_AFTER_S = 0.1
# No requester sends an order for this long after the worker's report.
PAUSE_S = 2.2
# Then requesters come at once.
ORDERS = 24


async def answer(worker, head, body, writer):
    """Answer like a sound worker after 90 ms of work; say so while it leaves."""
    fields = harness.parse_head(head)
    await asyncio.sleep(0.09)
    content = b"booked"
    lines = [
        "HTTP/1.1 200 OK",
        f"Bamboolever-Attempt-Id: {fields['bamboolever-attempt-id']}",
        "Bamboolever-Response-Signature: signed",
        f"Content-Length: {len(content)}",
    ]
    if worker.is_leaving:
        lines.append("Server-Leaving: 1")
    writer.write("\r\n".join(lines).encode() + b"\r\n\r\n" + content)
    await writer.drain()


async def start(deployment):
    """Start workers, an engine with its agent, and entries; return what is needed."""
    site = deployment.site
    workers = []
    for n in (1, 2, 3):
        worker = harness.RawWorker(f"orders-{n}", answer)
        worker.is_leaving = False
        await worker.serve()
        workers.append(
            deployment.add_raw_worker(worker, harness.PLAIN_SERVICE, slots=6)
        )
    # Entries hear of each other through the agents.
    host = deployment.next_host()
    deployment.start_agent("side-1", host, site.add_engine("engine-1", host))
    entries, proxies = [], []
    for n in range(1, ENTRIES + 1):
        # Each entry has a proxy of its own, which only counts the store's answers.
        proxy = storeproxy.StoreProxy(site.store.address)
        await proxy.serve()
        deployment.workers.append(proxy)
        proxies.append(proxy)
        store = {"address": proxy.address, "form": "objects"}
        entries.append(deployment.start_entry(f"frontend-{n}", platformSettings=store))
    for entry in entries:
        await harness.wait_ready(entry)
    return workers, entries, proxies


async def restart(deployment, entry, record):
    """Stop an entry as the platform does, and start it again after a short delay."""
    entry.signal(signal.SIGTERM)
    record.write(f"{entry.name} gets SIGTERM")
    deadline = time.monotonic() + GRACE_S
    while entry.exit_code is None and time.monotonic() < deadline:
        await asyncio.sleep(0.01)
    entry.end()
    record.write(f"{entry.name} has ended with exit code {entry.exit_code}")

    async def start_again():
        await asyncio.sleep(RESTART_DELAY_S)
        again = deployment.start_entry(settings=entry.settings)
        record.write(f"{again.name} is started again")

    return asyncio.create_task(start_again())


async def main(deployment, record):
    """Return whether no request reached the worker later than it may."""
    site = deployment.site
    workers, entries, proxies = await start(deployment)
    await asyncio.sleep(3.0)
    added = harness.RawWorker("orders-4", answer)
    added.is_leaving = False
    await added.serve()
    deployment.add_raw_worker(added, harness.PLAIN_SERVICE, slots=6)
    record.write("orders-4 is added")
    await asyncio.sleep(3.0)
    for proxy in proxies:
        proxy.is_counting = True
    await asyncio.sleep(2.0)
    answers = [proxy.answers for proxy in proxies]
    record.write(f"answers of the store to each entry in 2 s: {answers}")
    watcher = entries[answers.index(max(answers))]
    others = [entry for entry in entries if entry is not watcher]
    leaving = workers[0]
    outcomes, tasks, entry_by_attempt = [], [], {}

    async def order(number):
        entry = others[number % len(others)]
        attempt, outcome, took_s = await harness.request(
            entry.caller_address,
            "POST",
            f"/orders/{number}",
            timeout_s=6.0,
            deadline_ms=1526,
            body=b"order",
        )
        entry_by_attempt[attempt] = entry.name
        outcomes.append(outcome)
        text = f"{entry.name}, order {attempt}: {outcome} after {took_s:.3f} s"
        record.write(text)

    starting = None
    if harness.TROUBLE:
        starting = await restart(deployment, watcher, record)
    await asyncio.sleep(DRAINS_AFTER_S)
    leaving.is_leaving = True
    site.put_upstream(
        leaving, harness.PLAIN_SERVICE, slots=6, state="draining", sequence=2
    )
    acknowledged_at = time.monotonic()
    record.write("acknowledged: orders-1 is draining")

    async def leave():
        await asyncio.sleep(acknowledged_at + SERVES_ON_S - time.monotonic())
        leaving.crash()
        record.write("orders-1 exits")

    exiting = asyncio.create_task(leave())
    await asyncio.sleep(PAUSE_S)
    for number in range(ORDERS):
        tasks.append(asyncio.create_task(order(number)))
    await exiting
    await asyncio.gather(*tasks)
    if starting is not None:
        await starting
    late = [
        (at - acknowledged_at, entry_by_attempt.get(fields["bamboolever-attempt-id"]))
        for at, _, fields in leaving.received
        if at > acknowledged_at + DRAIN_S
    ]
    record.write(f"orders: { {each: outcomes.count(each) for each in set(outcomes)} }")
    for entry in others:
        times = [at for at, name in late if name == entry.name]
        span = f", {min(times):.3f} to {max(times):.3f} s after it" if times else ""
        record.write(
            f"requests from {entry.name} at orders-1 over {DRAIN_S} s after the "
            f"acknowledgement: {len(times)}{span}"
        )
    return not late


harness.finish(main, FOLDER)
