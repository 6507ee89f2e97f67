"""Decisions about calls: admission, placement, load shedding and retries.

The modules do no I/O and read no clock. They take events and the time, in seconds of
the calling code's clock, and return decisions.
"""
