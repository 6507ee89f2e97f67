"""Two models: agents that start again take the other model's version for their own."""

import signal
import sys
import time
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "standins_3"))

import deployment  # noqa: E402

DRAFTS, CHECKS = "daka510000", "daka520000"
DRAFT_PATH, CHECK_PATH = "/lepu270/", "/xapu221/"
SERVICES = {DRAFTS: ("huvo11a", DRAFT_PATH), CHECKS: ("kafi81c", CHECK_PATH)}
# What the operator names before the final fault. Versions are each model's own.
NAMED = ((DRAFTS, 2), (CHECKS, 2), (CHECKS, 3))
NAMED_EVERY_S = 4.0
CALM_S, AFTER_S = 8.0, 15.0
RECOVERY_S = 12.0
# Of five requests, four are for drafts.
MIX = (DRAFTS, DRAFTS, CHECKS, DRAFTS, DRAFTS)


def start(site, origin_host):
    """Start the deployment: one entry, two workers of drafts, one of checks."""
    origin = deployment.Origin(
        origin_host,
        deployment.find_port([origin_host]),
        site.record,
        dict.fromkeys(SERVICES, 1),
    )
    site.put_configuration(
        [deployment.model_route(path, service) for service, path in SERVICES.values()],
        [
            *(
                deployment.model_service(service, model)
                for model, (service, _) in SERVICES.items()
            ),
            deployment.origin_service(origin),
        ],
    )
    names = []
    for number, model in enumerate((DRAFTS, DRAFTS, CHECKS)):
        host = site.hosts[number + 1]
        worker = deployment.Worker(
            host,
            deployment.find_port([host]),
            site.record,
            f"i-{number}",
            model,
            1,
            SERVICES[model][0],
        )
        site.add_worker(worker)
        names.append(f"agent-{number}")
    time.sleep(0.3)
    site.start_entry("entry-1", origin_host)
    for number, name in enumerate(names):
        site.start_agent(name, site.hosts[number + 1], site.workers[number])
    return origin, ["entry-1", *names]


def call_for(site, duration_s):
    """Send requests for some seconds; return how many were sent and served."""
    end_at = time.monotonic() + duration_s
    sent = served = 0
    while time.monotonic() < end_at:
        model = MIX[sent % len(MIX)]
        path = SERVICES[model][1] + "2f"
        status, _, _ = site.call_model("entry-1", path, model)
        sent += 1
        served += status == 200
        time.sleep(0.1)
    return sent, served


def play(site):
    """Play the case; return whether the rule held."""
    origin, names = start(site, site.hosts[0])
    site.await_ready("entry-1")
    for model, version in NAMED:
        call_for(site, NAMED_EVERY_S)
        site.record.write(f"operator names version {version} of {model}")
        origin.newest[model] = version
        site.store.put("versions", model, {"model": model, "version": version})
    sent, served = call_for(site, CALM_S)
    for worker in site.workers:
        site.record.write(f"worker {worker.name} holds {worker.loaded}")
    site.record.write(f"before the final fault: {served} of {sent} served")
    if served < sent / 4:
        raise RuntimeError("too little is served before the final fault")
    if deployment.is_troubled():
        for name in names:
            site.send_signal(name, signal.SIGKILL)
            site.processes[name].wait()
        time.sleep(1.0)
        for name in names:
            site.start(name)
        site.await_ready("entry-1")
    call_for(site, RECOVERY_S)
    sent, served = call_for(site, AFTER_S)
    is_held = served >= sent / 4
    for worker in site.workers:
        site.record.write(f"worker {worker.name} holds {worker.loaded}")
    site.record.write(
        f"later than {RECOVERY_S} s after it: {served} of {sent} served; "
        f"RECOVER held: {is_held}"
    )
    origin.close()
    return is_held


def main():
    """Run the case and return its exit code."""
    site = None
    try:
        site = deployment.Deployment(FOLDER, host_count=4)
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
