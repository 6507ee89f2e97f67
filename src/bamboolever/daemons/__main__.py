"""Runs one daemon on the platform: ``python3 -m bamboolever.daemons ROLE``."""

import importlib
import sys

from bamboolever.daemons import deferredimports

if __name__ == "__main__":
    deferredimports.install()
    # Compiling this largest module, where it has no bytecode, takes 8 MB for a moment.
    # At the start these do not add to the peak, since later modules use them again.
    importlib.import_module("bamboolever._exchange_protocol.ttypes")
    from bamboolever.daemons.process import main

    sys.exit(main(sys.argv[1:]))
