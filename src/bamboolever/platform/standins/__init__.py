"""Small stand-ins of the platform's store, upstreams and origin, for tests.

They speak the platform's pages as far as the daemons use them, each on a task of
its own, and bring failures about when they are told to.
"""
