"""Runs one daemon on the platform: ``python3 -m bamboolever.daemons ROLE``."""

import sys

from bamboolever.daemons.process import main

if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
