"""Bounds the age of what another process says, without a shared clock.

Two processes send each other datagrams. Each names the last one that it received from
the other, and for how long it has had it. What a datagram says was therefore said later
than the named one was sent plus that time, on the clock of its receiver.

Load pattern: datagrams that are delayed by the network, or that lie in the socket of a
suspended process. Their age must not count from their arrival.
"""

import random
from collections import OrderedDict
from dataclasses import dataclass
from typing import final

from bamboolever.net.addresses import Address

# Datagrams and senders that are remembered. An older datagram is not echoed any more.
MAX_SENT = 512
MAX_SENDERS = 128


@dataclass(frozen=True)
class Echo:
    """The last datagram received from the recipient, and for how long it is here.

    ``sequence`` 0 means that none was received.
    """

    sequence: int = 0
    age_s: float = 0.0


@final
class SentTimes:
    """When this process sent its datagrams, in seconds of its clock.

    Sequences begin at random, so that they do not repeat after a restart.
    """

    def __init__(self) -> None:
        self._sequence = random.getrandbits(48)
        self._sent_at: OrderedDict[int, float] = OrderedDict()

    def next_sequence(self, now: float) -> int:
        """Return the sequence of a datagram that is sent now."""
        self._sequence += 1
        self._sent_at[self._sequence] = now
        if len(self._sent_at) > MAX_SENT:
            self._sent_at.popitem(last=False)
        return self._sequence

    def said_after(self, echo: Echo) -> float | None:
        """Return a time after which the datagram with ``echo`` was sent.

        Returns None if it names no datagram of this process that is remembered.
        """
        sent_at = self._sent_at.get(echo.sequence)
        return None if sent_at is None else sent_at + echo.age_s


@final
class Echoes:
    """The last datagram received from each process."""

    def __init__(self) -> None:
        self._received: OrderedDict[Address, tuple[int, float]] = OrderedDict()

    def on_received(self, sender: Address, sequence: int, now: float) -> None:
        """Record a datagram."""
        self._received[sender] = (sequence, now)
        self._received.move_to_end(sender)
        if len(self._received) > MAX_SENDERS:
            self._received.popitem(last=False)

    def echo_to(self, address: Address, now: float) -> Echo:
        """Return the echo for a datagram that is sent to ``address`` now."""
        received = self._received.get(address)
        if received is None:
            return Echo()
        sequence, received_at = received
        return Echo(sequence, now - received_at)
