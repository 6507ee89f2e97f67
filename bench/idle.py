"""Measures the CPU use and the memory of idle daemons.

Usage: python bench/idle.py [--seconds 10]

Starts an entry, an agent, its engine and the other stand-ins, each as a process, rolls
a version out and waits. Prints one JSON object per daemon. Only benches start
processes; daemons start none.
"""

import argparse
import json
import sys
import tempfile
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).parent.parent / "testing"))

from streams import read_cpu_s, read_rss_bytes  # noqa: E402
from test_entry import Deployment, Processes  # noqa: E402


def main() -> None:
    """Run the bench."""
    parser = argparse.ArgumentParser()
    parser.add_argument("--seconds", type=float, default=10.0)
    options = parser.parse_args()
    with tempfile.TemporaryDirectory() as directory:
        processes = Processes(Path(directory))
        try:
            deployment = Deployment(processes, status_period="2 s")
            deployment.roll_out("v1")
            daemons = {"entry": deployment.entry, "agent": deployment.agent}
            before = {name: read_cpu_s(p.pid) for name, p in daemons.items()}
            time.sleep(options.seconds)
            for name, process in daemons.items():
                cpu_s = read_cpu_s(process.pid) - before[name]
                row = {
                    "role": name,
                    "cpu_share_of_core": round(cpu_s / options.seconds, 4),
                    "rss_bytes": read_rss_bytes(process.pid),
                }
                print(json.dumps(row))
        finally:
            processes.stop()


if __name__ == "__main__":
    main()
