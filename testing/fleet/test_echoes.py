"""The age of what another process says, by the datagram that it echoes."""

from bamboolever.fleet.echoes import MAX_SENT, Echo, Echoes, SentTimes
from bamboolever.net.addresses import Address

PEER = Address("10.0.0.1", 7000)


def test_delayed_datagram_does_not_count_from_its_arrival():
    sent_times, echoes = SentTimes(), Echoes()
    sequence = sent_times.next_sequence(100.0)
    # The other process has a clock of its own.
    echoes.on_received(PEER, sequence, 7.0)
    echo = echoes.echo_to(PEER, 7.5)
    assert sent_times.said_after(echo) == 100.5


def test_restarted_process_does_not_take_an_echo_of_before():
    sequence = SentTimes().next_sequence(100.0)
    assert SentTimes().said_after(Echo(sequence, 1.0)) is None
    assert SentTimes().said_after(Echo()) is None


def test_memory_is_bounded():
    sent_times = SentTimes()
    first = sent_times.next_sequence(0.0)
    for _ in range(MAX_SENT):
        last = sent_times.next_sequence(1.0)
    assert sent_times.said_after(Echo(first)) is None
    assert sent_times.said_after(Echo(last)) == 1.0
