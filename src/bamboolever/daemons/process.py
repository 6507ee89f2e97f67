"""Runs a daemon: reads and reloads its settings file, and handles signals."""

import argparse
import dataclasses
import logging
import math
import signal
import sys
from pathlib import Path
from typing import Protocol

from bamboolever._task import IoTask
from bamboolever._telemetry import configure_logging
from bamboolever.daemons.settings import InstanceSettings
from bamboolever.daemons.signals import SignalMessage
from bamboolever.platform import nodefile
from bamboolever.platform.errors import AdapterError

logger = logging.getLogger(__name__)

EXIT_OK = 0
EXIT_BAD_INPUT = 2
SETTINGS_POLL_INTERVAL_S = 2.0


class PlatformDaemon(Protocol):
    """Interface of the daemons that `main` runs."""

    task: IoTask

    def run(self) -> None:
        """Serve on the calling thread until a requested stop is complete."""

    def request_stop(self) -> None:
        """Called on the task's thread when the process is asked to stop."""

    def apply_settings(self, settings: InstanceSettings) -> None:
        """Apply changed settings; called on the task's thread."""


def main(arguments: list[str]) -> int:
    """Run the daemon whose role ``arguments`` names, and return the exit code.

    Prints an error and returns `EXIT_BAD_INPUT` if the settings are unusable.
    """
    options = make_parser().parse_args(arguments)
    listener = configure_logging(stream=sys.stdout)
    try:
        path = nodefile.settings_path()
        settings = dataclasses.replace(
            nodefile.read_settings(path),
            placement=options.placement,
            piece_policy=options.pieces,
            metrics_port=options.metrics_port,
            hedge_share=options.hedge_share,
        )
        daemon = make_daemon(options.role, settings)
    except (AdapterError, LookupError, ValueError) as error:
        print(f"bamboolever: {error}", file=sys.stderr)
        return EXIT_BAD_INPUT
    settings_watcher = SettingsFileWatcher(daemon, path)
    install_signal_handlers(daemon, settings_watcher)
    logger.info(
        "started",
        extra={
            "role": options.role,
            "instance": settings.name,
            "availability_zone": settings.availability_zone,
        },
    )
    daemon.run()
    listener.stop()
    return EXIT_OK


def make_parser() -> argparse.ArgumentParser:
    """Return the parser of the arguments, which supplement the settings file."""
    parser = argparse.ArgumentParser(prog="python3 -m bamboolever.daemons")
    parser.add_argument("role", choices=["entry", "agent"])
    parser.add_argument(
        "--placement",
        default=InstanceSettings.placement,
        help="policy by which an entry places requests on engines",
    )
    parser.add_argument(
        "--pieces",
        default=InstanceSettings.piece_policy,
        help="policy by which an agent fetches pieces",
    )
    parser.add_argument(
        "--metrics-port",
        type=int,
        help="port of the metrics; default: the port after the internal port",
    )
    parser.add_argument(
        "--hedge-share",
        type=_parse_share,
        default=InstanceSettings.hedge_share,
        help="second attempts of slow idempotent requests that an entry may send, as a "
        "share of a service's requests, such as 0.05; 0, the default, sends none",
    )
    return parser


def _parse_share(text: str) -> float:
    """Return the share that an argument states.

    Raises `argparse.ArgumentTypeError` unless it is a number from 0 to 1.
    """
    try:
        share = float(text)
    except ValueError:
        share = math.nan
    if not 0 <= share <= 1:
        raise argparse.ArgumentTypeError(f"{text!r} is not a number from 0 to 1")
    return share


def make_daemon(role: str, settings: InstanceSettings) -> PlatformDaemon:
    """Return the daemon of a role, importing only the modules that it needs."""
    if role == "entry":
        from bamboolever.daemons.entry import Entry

        return Entry.from_config(settings)
    from bamboolever.daemons.agent import Agent

    return Agent.from_config(settings)


class SettingsFileWatcher:
    """Polls the settings file every `SETTINGS_POLL_INTERVAL_S` and applies changes."""

    def __init__(self, daemon: PlatformDaemon, path: Path):
        self._daemon = daemon
        self._path = path
        self._modified_ns = self._read_modified_ns()
        daemon.task.send(self._schedule_poll)

    def reload(self) -> None:
        """Read and apply the file; if it does not decode, log that and ignore it."""
        self._modified_ns = self._read_modified_ns()
        try:
            settings = nodefile.read_settings(self._path)
        except AdapterError as error:
            logger.error("settings not reloaded", extra={"reason": str(error)})
            return
        self._daemon.apply_settings(settings)

    def _schedule_poll(self) -> None:
        self._daemon.task.call_later(SETTINGS_POLL_INTERVAL_S, self._poll)

    def _poll(self) -> None:
        if self._read_modified_ns() != self._modified_ns:
            self.reload()
        self._schedule_poll()

    def _read_modified_ns(self) -> int:
        try:
            return self._path.stat().st_mtime_ns
        except OSError as error:
            logger.warning("settings file not found", extra={"reason": str(error)})
            return 0


def install_signal_handlers(
    daemon: PlatformDaemon, settings_watcher: SettingsFileWatcher
) -> None:
    """Install handlers: SIGTERM and SIGINT stop the daemon, SIGHUP reloads settings."""

    stop = SignalMessage(daemon.task, daemon.request_stop)
    signal.signal(signal.SIGTERM, stop)
    signal.signal(signal.SIGINT, stop)
    signal.signal(signal.SIGHUP, SignalMessage(daemon.task, settings_watcher.reload))
