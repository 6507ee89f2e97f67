"""Stand-ins for the platform's store, upstreams and weight origin, for tests.

Each implements the part of the platform's interface that the daemons use, runs on
its own task and can be made to fail in given ways.
"""
