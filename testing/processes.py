"""Runs daemons as processes of their own."""

import json
import os
import subprocess
import sys
from pathlib import Path

from sitebuilders import WAIT_S


class DaemonProcess:
    """A daemon with a settings file of its own; its output is appended to ``log``."""

    def __init__(self, document, path, *arguments):
        path.write_text(json.dumps(document))
        self.path = path
        self.log = path.with_suffix(".log")
        with self.log.open("ab") as log:
            self._popen = subprocess.Popen(
                [sys.executable, "-m", "bamboolever.daemons", *arguments],
                env={**os.environ, "BAMBOOLEVER_NODE_FILE": str(path)},
                stdout=log,
                stderr=subprocess.STDOUT,
            )

    def signal(self, number):
        self._popen.send_signal(number)

    def wait(self):
        return self._popen.wait(WAIT_S)

    def messages(self):
        lines = self.log.read_text().splitlines()
        return [json.loads(line)["message"] for line in lines if line.startswith("{")]

    def kill(self):
        if self._popen.poll() is None:
            self._popen.kill()
            self._popen.wait()

    @property
    def is_running(self):
        return self._popen.poll() is None

    def peak_memory_bytes(self):
        """Return the largest resident size that the process has had."""
        status = Path(f"/proc/{self._popen.pid}/status").read_text()
        (line,) = (each for each in status.splitlines() if each.startswith("VmHWM:"))
        return int(line.split()[1]) * 1024

    def count_descriptors(self):
        return len(list(Path(f"/proc/{self._popen.pid}/fd").iterdir()))
