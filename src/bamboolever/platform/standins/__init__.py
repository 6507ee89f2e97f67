"""Stand-ins for the platform's store, upstreams and weight origin, for tests.

Each implements the part of the platform's interface that the daemons use and runs on
its own task. Tests can make the store, the upstreams and the origin fail.
"""
