"""Entries as processes under callers and a seeded series of disturbances.

Callers keep using open connections until the process behind them is gone. `Soak.run`
returns the outcome of each request; `find_lost` names those that an entry has lost.
"""

import http.client
import itertools
import random
import signal
import threading
import time
from dataclasses import dataclass, field

from processes import DaemonProcess
from sitebuilders import wait_for
from soakcallers import CALLER_TIMEOUT_S, CALLER_TYPES

from bamboolever.platform.standins.upstream import EVENT_COUNT, Behaviour

ENTRY_COUNT = 3
CALLERS_PER_ENTRY = 8
MAX_GAP_S = 0.6
MAX_PAUSE_S = 0.4
GRACE_S = 8.0
# Requests that are sent later than this after a stop request may be interrupted.
STOP_ADMISSION_S = 3.0
EVENT_GAP_S = 0.12
PAUSED_STREAMS = 20
# A request that was begun later than this before the end of its connection may have
# crossed the close.
MIN_BEGUN_S = 0.1


@dataclass
class Span:
    """Since when, and until when, an entry's requests may be interrupted.

    A kill interrupts also those that are sent later, on a connection from before.
    """

    since: float
    until: float = float("inf")
    is_kill: bool = False

    def interrupts(self, outcome):
        started_at = outcome.connected_at if self.is_kill else outcome.begun_at
        return outcome.ended_at >= self.since and started_at <= self.until


@dataclass
class EntryProcess:
    """An entry that is started again whenever it ends."""

    document: dict
    path: object
    spans: list[Span] = field(default_factory=list)
    stops: list[float] = field(default_factory=list)
    process: DaemonProcess | None = None

    @property
    def name(self):
        return self.document["nodeName"]

    @property
    def is_running(self):
        return self.process is not None and self.process.is_running

    def start(self):
        self.process = DaemonProcess(self.document, self.path, "entry")

    def kill(self):
        # The span begins before the signal: what ends earlier was not killed.
        self.spans.append(Span(time.monotonic(), is_kill=True))
        self.process.kill()

    def connect(self):
        host, _, port = self.document["listenAddresses"]["frontend"].rpartition(":")
        return http.client.HTTPConnection(host, int(port), timeout=CALLER_TIMEOUT_S)

    def is_ready(self):
        host, _, port = self.document["listenAddresses"]["ready"].rpartition(":")
        connection = http.client.HTTPConnection(host, int(port), timeout=1.0)
        try:
            connection.request("GET", "/-/readiness")
            return connection.getresponse().status == 200
        except (OSError, http.client.HTTPException):
            return False
        finally:
            connection.close()


class Soak:
    """One seeded run against a site with plain upstreams and engines."""

    def __init__(self, site, folder, seed):
        self._site = site
        self._rng = random.Random(seed)
        self._never_set = threading.Event()
        self._stopped = threading.Event()
        self.notes = []
        for each in site.upstreams.values():
            each.event_gap_s = EVENT_GAP_S
        self.entries = [
            EntryProcess(
                site.make_settings(name=f"entry-{number}", host=f"127.0.1.{number}"),
                folder / f"entry-{number}.json",
            )
            for number in range(1, ENTRY_COUNT + 1)
        ]

    def run(self, steps, *, disturbances=None):
        """Play ``steps`` disturbances in a row, then kill all; return all outcomes."""
        choices = disturbances or (
            self._change_configuration,
            self._stop,
            self._reload,
            self._kill,
            self._freeze,
            self._pause_streams,
        )
        for entry in self.entries:
            entry.start()
        wait_for(lambda: all(entry.is_ready() for entry in self.entries))
        callers = [
            CALLER_TYPES[number % len(CALLER_TYPES)](
                entry, random.Random(self._rng.random()), self._stopped
            )
            for entry in self.entries
            for number in range(CALLERS_PER_ENTRY)
        ]
        for caller in callers:
            caller.thread.start()
        for _ in range(steps):
            self._restart_ended()
            self._rng.choice(choices)()
            self._never_set.wait(self._rng.uniform(0.0, MAX_GAP_S))
        self._close()
        for caller in callers:
            caller.thread.join()
        return list(itertools.chain.from_iterable(each.outcomes for each in callers))

    def _close(self):
        """Kill every entry right after a configuration was acknowledged."""
        self._change_configuration()
        for entry in self.entries:
            entry.kill()
        self._stopped.set()

    def close(self):
        """End all processes."""
        self._stopped.set()
        for entry in self.entries:
            if entry.is_running:
                entry.process.kill()

    def _note(self, text):
        self.notes.append((time.monotonic(), text))

    def _restart_ended(self):
        for entry in self.entries:
            if not entry.is_running:
                entry.start()

    def _change_configuration(self):
        for route in self._site.configuration["routes"]:
            route["timeoutMs"] = self._rng.choice((5000, 5500, 6000))
        self._site.apply_configuration()
        self._note("configuration")

    def _stop(self):
        entry = self._rng.choice(self.entries)
        if entry.is_running:
            entry.stops.append(time.monotonic())
            entry.process.signal(signal.SIGTERM)
            self._note(f"SIGTERM {entry.name}")

    def _reload(self):
        entry = self._rng.choice(self.entries)
        if entry.is_running and entry.is_ready():
            entry.process.signal(signal.SIGHUP)
            self._note(f"SIGHUP {entry.name}")

    def _kill(self):
        self.kill(self._rng.choice(self.entries))

    def kill(self, entry):
        """Kill an entry, which stays down until it is started again."""
        entry.kill()
        entry.spans[-1].until = time.monotonic()
        self._note(f"SIGKILL {entry.name}")

    def _freeze(self):
        entry = self._rng.choice(self.entries)
        if not entry.is_running:
            return
        span = Span(time.monotonic())
        entry.spans.append(span)
        entry.process.signal(signal.SIGSTOP)
        self._never_set.wait(self._rng.uniform(0.0, MAX_PAUSE_S))
        entry.process.signal(signal.SIGCONT)
        span.until = time.monotonic()
        self._note(f"SIGSTOP {entry.name}")

    def _pause_streams(self):
        for each in self._site.upstreams.values():
            if each.engine is not None:
                each.behaviours.extend([Behaviour.PAUSE_MID_STREAM] * PAUSED_STREAMS)
        self._note("pauses")


def find_lost(outcomes, soak, executed):
    """Return the requests that ran, and whose entry ended them without an answer.

    ``executed`` has the attempt ids that upstreams ran. Not counted are requests of
    entries that were killed or frozen meanwhile, and those that were at work as the
    grace period ended.
    """
    by_name = {entry.name: entry for entry in soak.entries}
    return [
        each
        for each in outcomes
        if not each.is_complete
        and each.attempt in executed
        and not _is_excused(each, by_name[each.entry])
    ]


def find_dropped(outcomes, soak):
    """Return the requests that an entry closed without an answer as they arrived."""
    by_name = {entry.name: entry for entry in soak.entries}
    return [
        each
        for each in outcomes
        if each.status is None
        and each.ended_at - each.begun_at > MIN_BEGUN_S
        and not _was_disturbed(each, by_name[each.entry])
    ]


def _was_disturbed(outcome, entry):
    return any(span.interrupts(outcome) for span in entry.spans)


def _is_excused(outcome, entry):
    if _was_disturbed(outcome, entry):
        return True
    return any(
        outcome.ended_at >= stopped_at + GRACE_S * 5 / 6
        and outcome.sent_at <= stopped_at + STOP_ADMISSION_S
        for stopped_at in entry.stops
    )


def find_mixed(outcomes):
    """Return the successes whose body is not that of their own request."""
    events = b"".join(
        f"id: {number}\ndata: token {number}\n\n".encode()
        for number in range(1, EVENT_COUNT + 1)
    )
    return [
        each
        for each in outcomes
        if each.is_complete
        and each.status == 200
        and each.body not in (events, b"answer to " + each.attempt.encode())
    ]
