"""Records a trace of the calls of one entry in the demo, for `testing/traces`.

Usage: python bench/record.py FAULT OUTPUT.jsonl.gz

FAULT is the name of a fault of the demo.
"""

import gzip
import itertools
import sys

from bamboolever import _demo, _entry
from bamboolever._trace import RecordingCoordinator

SEED = 7


def main() -> None:
    """Run the demo and record the calls of its first entry."""
    fault, path = sys.argv[1], sys.argv[2]
    coordinator_class = _entry.CallCoordinator
    entry_indexes = itertools.count()
    with gzip.open(path, "wt") as output:

        def make(region: str, zone: str, *, seed: int) -> object:
            if next(entry_indexes):
                return coordinator_class(region, zone, seed=seed)
            return RecordingCoordinator(region, zone, seed=SEED, output=output)

        _entry.CallCoordinator = make  # type: ignore[assignment, misc]
        options = _demo.DemoOptions(6, 3, 4, "budgeted", "time-to-n", 1, (fault,))
        _demo.run_demo(options, as_json=True)


if __name__ == "__main__":
    main()
