"""Counters with attributes, and JSON logs that never block the process."""

import json
import logging
import os
import subprocess
import sys

from bamboolever._telemetry import Telemetry

PROGRAM = """
import logging, sys
from bamboolever._telemetry import configure_logging
configure_logging()
for number in range(20_000):
    logging.info("a line of some length for the pipe %d", number)
sys.stdout.write("done")
sys.stdout.flush()
import os
os._exit(0)
"""


def test_a_log_reader_that_stops_reading_does_not_block_the_process():
    reader, writer = os.pipe()
    try:
        finished = subprocess.run(
            [sys.executable, "-c", PROGRAM],
            stdout=subprocess.PIPE,
            stderr=writer,
            timeout=60,
        )
        assert finished.stdout == b"done"
    finally:
        os.close(writer)
        os.close(reader)


def test_each_log_line_is_one_json_object():
    program = (
        "import logging\n"
        "from bamboolever._telemetry import configure_logging\n"
        "listener = configure_logging()\n"
        "logging.info('hello', extra={'trace_id': 'abc'})\n"
        "listener.stop()\n"
    )
    finished = subprocess.run(
        [sys.executable, "-c", program], stderr=subprocess.PIPE, timeout=60
    )
    line = json.loads(finished.stderr)
    assert (line["message"], line["trace_id"]) == ("hello", "abc")


def test_a_counter_has_a_value_for_each_reason():
    telemetry = Telemetry("test")
    telemetry.count("refusals", reason="rate-limit")
    telemetry.count("refusals", reason="rate-limit")
    telemetry.count("refusals", reason="queue-full")
    assert telemetry.sum_by_attribute("refusals", "reason") == {
        "queue-full": 1,
        "rate-limit": 2,
    }
    assert 'refusals{reason="rate-limit"} 2' in telemetry.render_text()
    telemetry.shutdown()
    logging.getLogger().setLevel(logging.WARNING)
