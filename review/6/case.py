"""After one lost answer of the store, old weights serve beyond their time."""

import asyncio
import sys
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "standins_2"))

import harness  # noqa: E402
import storeproxy  # noqa: E402

from bamboolever.platform.names import VERSION_KIND  # noqa: E402
from bamboolever.platform.standins.upstream import MODEL  # noqa: E402

VERSION_S = 8.0
STABILITY_S = 3.0
TROUBLE_S = 2.5
ENGINES = 3
GAP_S = 0.1
WATCH_S = 24.0


async def main(deployment, record):
    """Return whether no request began on the old version later than allowed."""
    site = deployment.site
    proxy = storeproxy.StoreProxy(site.store.address)
    await proxy.serve()
    deployment.workers.append(proxy)
    store = {"platformSettings": {"address": proxy.address, "form": "objects"}}
    engines = []
    for n in range(1, ENGINES + 1):
        host = deployment.next_host()
        engine = site.add_engine(f"engine-{n}", host)
        engines.append(engine)
        deployment.start_agent(f"side-{n}", host, engine, **store)
    entries = [deployment.start_entry(f"frontend-{n}", **store) for n in (1, 2)]
    for entry in entries:
        await harness.wait_ready(entry)
    await asyncio.sleep(3.0)
    record.write(f"ready: {ENGINES} engines with version 1, {len(entries)} entries")
    answers = []

    async def draft(number, sent_at):
        attempt, outcome, took_s, fields = await harness.request_fields(
            entries[number % len(entries)].caller_address,
            "POST",
            f"/stream/{number}",
            timeout_s=8.0,
            body=b"prompt",
            Bamboolever_Model=MODEL,
            Bamboolever_Token_Counts="500,60",
            Bamboolever_Prompt_Prefix=f"{number:x}:40,{number + 9999:x}:460",
        )
        version = fields.get("bamboolever-weight-versions", "-")
        answers.append((sent_at, outcome, version))
        record.write(
            f"stream {attempt} sent {sent_at:.3f}: {outcome}, version {version}"
        )

    tasks = []
    trouble_at = record.now()
    if harness.TROUBLE:
        proxy.loses = frozenset({VERSION_KIND})
        proxy.is_counting = True
        record.write("the store begins to lose answers")
    named_at = trouble_at + 0.5
    is_named, stable_at, number = False, named_at, 0
    while record.now() < named_at + WATCH_S:
        now = record.now()
        if not is_named and now >= named_at:
            is_named = True
            site.set_model_version(2)
            record.write("version 2 is named")
        if proxy.loses and now >= trouble_at + TROUBLE_S:
            proxy.loses = frozenset()
            proxy.is_counting = False
            stable_at = now + STABILITY_S
            record.write(
                f"the store is sound; {len(proxy.lost)} of {proxy.answers} answers "
                f"lost: {proxy.lost}"
            )
        tasks.append(asyncio.create_task(draft(number, now)))
        number += 1
        await asyncio.sleep(GAP_S)
    await asyncio.gather(*tasks)
    due_at = stable_at + VERSION_S
    late = [a for a in answers if a[0] > due_at and a[2] == "1"]
    last_old = max((a[0] for a in answers if a[2] == "1"), default=0.0)
    record.write(
        f"version 2 named at {named_at:.3f}, the core stable from {stable_at:.3f}, "
        f"due at {due_at:.3f}"
    )
    record.write(f"last request on version 1 sent at {last_old:.3f}")
    record.write(f"requests sent later than that on version 1: {len(late)}")
    if harness.TROUBLE and not proxy.lost:
        raise RuntimeError("no answer was lost")
    return not late


harness.finish(main, FOLDER)
