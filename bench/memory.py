"""Measures the peak resident memory of daemons, by imported module and when running.

Usage: python bench/memory.py [--runs 3] [--top 15] [--seconds 5] [--no-bytecode]

For each role, a fresh process imports the role's modules. Each module is charged with
what its own code added to the peak, in MB (2**20 bytes), without the modules that it
imports; compiling a module that has no bytecode counts. Then the role's daemon runs
against stand-ins, and its own peak is read. ``--no-bytecode`` hides the bytecode of
all modules, as at the first start after an installation that compiles nothing.
"""

import argparse
import json
import os
import re
import statistics
import subprocess
import sys
import tempfile
import time
from pathlib import Path

ROOT = Path(__file__).parent.parent
sys.path.insert(0, str(ROOT / "src"))

from bamboolever.platform import names  # noqa: E402
from bamboolever.platform.standins.site import Site  # noqa: E402

MIB = 2**20
# A daemon that runs for this long has imported what it imports late.
WARM_UP_S = 3.0
ROLES = ("agent", "entry")
# Modules of one of these packages are added up.
GROUPED = (
    "bamboolever._exchange_protocol",
    "bamboolever._telemetry",
    "bamboolever.calls",
    "bamboolever.config",
    "bamboolever.daemons",
    "bamboolever.fleet",
    "bamboolever.net",
    "bamboolever.platform.documents",
    "bamboolever.platform.nodefile",
    "bamboolever.platform",
    "bamboolever.weights",
)

# Runs in the measured process, so that this script's own imports do not count.
PROBE = """
import sys

def read_peak():
    with open("/proc/self/status", "rb") as status:
        for line in status:
            if line.startswith(b"VmHWM:"):
                return int(line.split()[1]) * 1024
    return 0

peak = read_peak()
own = {"(interpreter)": peak}
stack = []

from importlib.machinery import PathFinder

try:
    from bamboolever.daemons import deferredimports
except ImportError:
    # Earlier versions defer nothing.
    pass
else:
    deferredimports.install()
    own["bamboolever.daemons.deferredimports"] = read_peak() - peak

class Finder:
    @staticmethod
    def find_spec(name, path=None, target=None):
        spec = PathFinder.find_spec(name, path, target)
        if spec is None or not hasattr(spec.loader, "exec_module"):
            return spec
        execute = spec.loader.exec_module
        def exec_module(module):
            stack.append(0)
            before = read_peak()
            try:
                return execute(module)
            finally:
                added = read_peak() - before
                own[name] = own.get(name, 0) + added - stack.pop()
                if stack:
                    stack[-1] += added
        try:
            spec.loader.exec_module = exec_module
        except AttributeError:
            pass
        return spec

sys.meta_path.insert(len(sys.meta_path) - 3, Finder)
from bamboolever.daemons import process
import importlib
importlib.import_module("bamboolever.daemons." + sys.argv[1])
peak = read_peak()
import json
print(json.dumps({"own": own, "peak": peak}))
"""


def main() -> None:
    """Run the bench."""
    parser = argparse.ArgumentParser()
    parser.add_argument("--runs", type=int, default=3)
    parser.add_argument("--top", type=int, default=15)
    parser.add_argument("--seconds", type=float, default=5.0)
    parser.add_argument("--no-bytecode", action="store_true")
    options = parser.parse_args()
    with tempfile.TemporaryDirectory() as cache:
        environment = _make_environment(Path(cache), options.no_bytecode)
        imports = {
            role: [_measure_imports(role, environment) for _ in range(options.runs)]
            for role in ROLES
        }
        _print_imports(imports, options.top)
        for role in ROLES:
            peaks = [
                _measure_daemon(role, environment, options.seconds)
                for _ in range(options.runs)
            ]
            print(f"running {role}: peak {_format_figures(peaks)}")


def _make_environment(cache: Path, is_without_bytecode: bool) -> dict[str, str]:
    """Return the environment of measured processes; their bytecode is in ``cache``."""
    environment = {
        **os.environ,
        "PYTHONPATH": os.pathsep.join([str(ROOT / "src"), *sys.path[1:]]),
        "PYTHONPYCACHEPREFIX": str(cache),
    }
    environment.pop("PYTHONDONTWRITEBYTECODE", None)
    if is_without_bytecode:
        environment["PYTHONDONTWRITEBYTECODE"] = "1"
        return environment
    for role in ROLES:
        _measure_imports(role, environment)
        _measure_daemon(role, environment, WARM_UP_S)
    return environment


def _measure_imports(role: str, environment: dict[str, str]) -> dict:
    finished = subprocess.run(
        [sys.executable, "-c", PROBE, role],
        env=environment,
        stdout=subprocess.PIPE,
        check=True,
    )
    return json.loads(finished.stdout)


def _print_imports(imports: dict[str, list[dict]], top: int) -> None:
    for role, runs in imports.items():
        peaks = [run["peak"] for run in runs]
        print(f"importing {role}: peak {_format_figures(peaks)}")
        groups: dict[str, list[int]] = {}
        for index, run in enumerate(runs):
            for name, size in run["own"].items():
                sizes = groups.setdefault(_group_of(name), [0] * len(runs))
                sizes[index] += size
        # In the order in which the groups are first imported.
        rows = [(name, statistics.median(sizes)) for name, sizes in groups.items()]
        least = sorted((size for _, size in rows), reverse=True)[:top][-1]
        others = 0.0
        for name, size in rows:
            if size < least or not size:
                others += size
                continue
            print(f"  {size / MIB:6.2f}  {name}")
        print(f"  {others / MIB:6.2f}  (all others)")


def _group_of(module: str) -> str:
    for prefix in GROUPED:
        if module == prefix or module.startswith(prefix + "."):
            return prefix
    return module.split(".")[0]


def _measure_daemon(role: str, environment: dict[str, str], seconds: float) -> int:
    """Return the peak in bytes of a daemon that runs for ``seconds``."""
    site = Site()
    with tempfile.TemporaryDirectory() as directory:
        engine = site.add_engine("engine-1", "127.0.0.2")
        site.add_plain_upstream("plain-1")
        settings = {"name": f"{role}-1", "host": "127.0.0.1"}
        if role == "agent":
            settings = {"name": "agent-1", "host": "127.0.0.2", "upstream": engine}
        path = Path(directory) / "settings.json"
        path.write_text(json.dumps(site.make_settings(**settings)))
        process = subprocess.Popen(
            [sys.executable, "-m", "bamboolever.daemons", role],
            env={**environment, names.SETTINGS_FILE_VARIABLE: str(path)},
            stdout=subprocess.DEVNULL,
        )
        try:
            time.sleep(seconds)
            status = Path(f"/proc/{process.pid}/status").read_text()
        finally:
            process.kill()
            process.wait()
            site.close()
    found = re.search(r"VmHWM:\s+(\d+) kB", status)
    assert found is not None
    return int(found.group(1)) * 1024


def _format_figures(sizes: list[int]) -> str:
    middle = statistics.median(sizes) / MIB
    return f"{middle:.1f} MB ({min(sizes) / MIB:.1f} to {max(sizes) / MIB:.1f})"


if __name__ == "__main__":
    main()
