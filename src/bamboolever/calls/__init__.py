"""Decisions about calls: admission, placement, retries and answers.

Pure: an event and the time in, decisions out. Times are seconds of the caller's
clock.
"""
