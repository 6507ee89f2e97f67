"""Runs an entry or an agent until a signal asks the process to stop."""

import logging
from collections.abc import Callable
from pathlib import Path
from typing import Any, final

from returns.result import Failure, Result, Success

from bamboolever._adminserver import AdminServer, Inspectable
from bamboolever._agent import Agent
from bamboolever._documents import Fault, load_toml
from bamboolever._entry import Entry
from bamboolever._kernel import Kernel
from bamboolever._settings import AgentSettings, EntrySettings
from bamboolever._signals import StopRequest
from bamboolever._telemetry import Telemetry

logger = logging.getLogger(__name__)

EXIT_OK = 0
EXIT_DRAIN_INCOMPLETE = 1


@final
class _InspectableEntry(Inspectable):
    def __init__(self, entry: Entry):
        self._entry = entry

    def is_ready(self) -> bool:
        return self._entry.is_ready()

    def read_status(self) -> dict[str, Any]:
        return self._entry.describe_status()

    def read_telemetry(self) -> Telemetry:
        return self._entry.telemetry


@final
class _InspectableAgent(Inspectable):
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
    """An entry or agent with its admin server, run by a kernel.

    ``drain`` waits for the calls in flight and returns whether all of them ended in
    time. ``ports`` has the port numbers by name, for the log.
    """

    def __init__(
        self, kernel: Kernel, drain: Callable[[], bool], ports: dict[str, int]
    ):
        self.kernel = kernel
        self._port_fields = ports
        self._drain_calls = drain
        self._stop_request = StopRequest()

    @classmethod
    def from_entry_settings(cls, settings: EntrySettings) -> "Daemon":
        """Return an entry with an admin server.

        Raises `OSError` when a port cannot be bound.
        """
        entry = Entry.from_config(settings)
        kernel = Kernel()
        kernel.register(entry)
        target = _InspectableEntry(entry)
        admin_server = AdminServer(
            settings.host, settings.admin_port, target, settings.shared_keys
        )
        kernel.register(admin_server)
        ports = {"caller_port": entry.port, "admin_port": admin_server.port}
        return cls(kernel, entry.drain, ports)

    @classmethod
    def from_agent_settings(cls, settings: AgentSettings) -> "Daemon":
        """Return an agent with an admin server.

        Raises `OSError` when a port cannot be bound.
        """
        agent = Agent.from_config(settings)
        kernel = Kernel()
        kernel.register(agent)
        target = _InspectableAgent(agent)
        admin_server = AdminServer(
            settings.host, settings.admin_port, target, settings.shared_keys
        )
        kernel.register(admin_server)
        # The agent itself ends the drain after drain_timeout, before this timeout.
        timeout_s = settings.drain_timeout + 1.0
        ports = {"port": agent.port, "admin_port": admin_server.port}
        return cls(kernel, lambda: agent.drain().result(timeout_s), ports)

    def request_stop(self) -> None:
        """Make `run` drain the calls and return; usable in a signal handler."""
        self._stop_request.set()

    def run(self) -> int:
        """Serve until `request_stop` or a signal, drain, and return the exit code.

        The code is `EXIT_DRAIN_INCOMPLETE` if the drain timed out. Must be called on
        the main thread, since it installs signal handlers.
        """
        self._stop_request.set_on_signals()
        self.kernel.start()
        logger.info("started", extra=self._port_fields)
        self._stop_request.wait()
        logger.info("draining")
        is_clean = self._drain_calls()
        self.kernel.stop()
        logger.info("stopped", extra={"clean": is_clean})
        return EXIT_OK if is_clean else EXIT_DRAIN_INCOMPLETE


def load_daemon(path: Path, role: str) -> Result[Daemon, list[Fault]]:
    """Return the daemon that a settings file describes, or the file's faults.

    ``role`` is "entry" or "agent". An address that cannot be bound is a fault too.
    """
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
