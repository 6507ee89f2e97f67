"""Runs one daemon in this process until a signal asks it to stop."""

import logging
import signal
import threading
from collections.abc import Callable
from pathlib import Path
from types import FrameType
from typing import Any, final

from returns.result import Failure, Result, Success

from bamboolever._adminport import AdminPort, Inspectable
from bamboolever._agent import Agent
from bamboolever._documents import Fault, load_toml
from bamboolever._entry import Entry
from bamboolever._kernel import Kernel
from bamboolever._settings import AgentSettings, EntrySettings
from bamboolever._telemetry import Telemetry

logger = logging.getLogger(__name__)

EXIT_OK = 0
EXIT_CUT = 1


@final
class _EntryView(Inspectable):
    def __init__(self, entry: Entry):
        self._entry = entry

    def is_ready(self) -> bool:
        return self._entry.is_ready()

    def read_status(self) -> dict[str, Any]:
        return self._entry.describe_status()

    def read_telemetry(self) -> Telemetry:
        return self._entry.telemetry


@final
class _AgentView(Inspectable):
    def __init__(self, agent: Agent):
        self._agent = agent

    def is_ready(self) -> bool:
        return self._agent.is_ready()

    def read_status(self) -> dict[str, Any]:
        return self._agent.describe_status()

    def read_telemetry(self) -> Telemetry:
        return self._agent.telemetry


@final
class Daemon:
    """A kernel with its services, and how they come to a graceful stop."""

    def __init__(
        self, kernel: Kernel, drain: Callable[[], bool], ports: dict[str, int]
    ):
        self.kernel = kernel
        self._ports = ports
        self._drain = drain
        self._stop_requested = threading.Event()

    @classmethod
    def from_entry_settings(cls, settings: EntrySettings) -> "Daemon":
        """Build an entry with its operators' port."""
        entry = Entry.from_config(settings)
        kernel = Kernel()
        kernel.register(entry)
        view = _EntryView(entry)
        port = AdminPort(settings.host, settings.admin_port, view, settings.shared_keys)
        kernel.register(port)
        ports = {"caller_port": entry.port, "admin_port": port.port}
        return cls(kernel, entry.drain, ports)

    @classmethod
    def from_agent_settings(cls, settings: AgentSettings) -> "Daemon":
        """Build an agent with its operators' port."""
        agent = Agent.from_config(settings)
        kernel = Kernel()
        kernel.register(agent)
        view = _AgentView(agent)
        port = AdminPort(settings.host, settings.admin_port, view, settings.shared_keys)
        kernel.register(port)
        timeout_s = settings.drain_timeout + 1.0
        ports = {"port": agent.port, "admin_port": port.port}
        return cls(kernel, lambda: agent.drain().result(timeout_s), ports)

    def request_stop(self, _signum: int = 0, _frame: FrameType | None = None) -> None:
        """Ask `run` to drain and return; usable as a signal handler."""
        self._stop_requested.set()

    def run(self) -> int:
        """Run until a stop is asked for; return the exit code."""
        signal.signal(signal.SIGTERM, self.request_stop)
        signal.signal(signal.SIGINT, self.request_stop)
        self.kernel.start()
        logger.info("started", extra=self._ports)
        self._stop_requested.wait()
        logger.info("draining")
        is_clean = self._drain()
        self.kernel.stop()
        logger.info("stopped", extra={"clean": is_clean})
        return EXIT_OK if is_clean else EXIT_CUT


def load_daemon(path: Path, role: str) -> Result[Daemon, list[Fault]]:
    """Return the daemon that a settings file describes, or all its faults."""
    model = EntrySettings if role == "entry" else AgentSettings
    loaded = load_toml(path, model)
    if isinstance(loaded, Failure):
        return loaded
    settings = loaded.unwrap()
    try:
        if isinstance(settings, EntrySettings):
            return Success(Daemon.from_entry_settings(settings))
        return Success(Daemon.from_agent_settings(settings))
    except OSError as error:
        problem = f"the address cannot be used: {error.strerror}; choose another"
        return Failure([Fault(str(path), "host, port", problem)])
