"""One wrong digit in one manifest makes sound workers load what nobody named."""

import sys
import time
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "standins_3"))

import deployment  # noqa: E402

MODEL = "daka510000"
SERVICE = "huvo11a"
RUN_S = 25.0
# The operator names the next version so long after the entry was ready.
NAMED_AFTER_S = 8.0


class OneSpoiltByte:
    """Changes one byte of the first manifest only; the later ones are sound."""

    def __init__(self):
        self._is_done = False

    def __call__(self, manifest):
        """Return the manifest as the origin sends it."""
        if self._is_done:
            return manifest
        self._is_done = True
        return manifest.replace(b'"version":1,', b'"version":7,', 1)


def play(site):
    """Play the case; return whether the rule held."""
    entry_host, *hosts = site.hosts
    origin_port = deployment.find_port([entry_host])
    origin = deployment.Origin(entry_host, origin_port, site.record, {MODEL: 1})
    site.put_configuration(
        [deployment.model_route("/lepu270/", SERVICE)],
        [
            deployment.model_service(SERVICE, MODEL),
            deployment.origin_service(origin),
        ],
    )
    # The last worker was added a moment ago and holds no weights yet.
    for number, host in enumerate(hosts):
        version = None if number == len(hosts) - 1 else 1
        port = deployment.find_port([host])
        worker = deployment.Worker(
            host, port, site.record, f"i-{number}", MODEL, version, SERVICE
        )
        site.add_worker(worker)
    if deployment.is_troubled():
        origin.spoil = OneSpoiltByte()
    time.sleep(0.3)
    site.start_entry("entry-1", entry_host)
    for number, worker in enumerate(site.workers):
        site.start_agent(f"agent-{number}", hosts[number], worker)
    site.await_ready("entry-1")
    end_at = time.monotonic() + RUN_S
    naming_at = time.monotonic() + NAMED_AFTER_S
    served = 0
    while time.monotonic() < end_at:
        if naming_at is not None and time.monotonic() >= naming_at:
            naming_at = None
            site.record.write("operator names version 2")
            origin.newest[MODEL] = 2
            site.store.put("versions", MODEL, {"model": MODEL, "version": 2})
        status, _, _ = site.call_model("entry-1", "/lepu270/2f", MODEL)
        served += status == 200
        time.sleep(0.2)
    origin.close()
    is_held = True
    for worker in site.workers:
        mixed = [each for each in worker.tokens if each[1] != {each[0]}]
        site.record.write(
            f"worker {worker.name} ends with {worker.loaded}: "
            f"{len(worker.tokens)} requests run, {len(mixed)} of them on layers "
            "taken from pieces of another version"
        )
        is_held = is_held and not mixed
    site.record.write(f"{served} requests served; WHOLE held: {is_held}")
    if not served:
        raise RuntimeError("nothing was served")
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
