"""Deferred modules are loaded when they are used, and then like any other."""

import hashlib
import subprocess
import sys

PREFIX = """
import sys
from bamboolever.daemons import deferredimports
deferredimports.install()
from bamboolever.daemons.deferredimports import is_loaded
"""


def _run(program):
    finished = subprocess.run(
        [sys.executable, "-c", PREFIX + program],
        stdout=subprocess.PIPE,
        check=True,
        timeout=60,
    )
    return finished.stdout.decode().split()


def test_module_is_loaded_when_an_attribute_is_read():
    program = """
import pickle
import pickle as again
print(is_loaded(pickle), pickle.loads(again.dumps(7)), is_loaded(pickle))
"""
    assert _run(program) == ["False", "7", "True"]


def test_name_that_is_imported_from_a_module_loads_it():
    program = """
from concurrent.futures import Future
import concurrent.futures
print(Future is concurrent.futures.Future, is_loaded(concurrent.futures))
"""
    assert _run(program) == ["True", "True"]


def test_function_that_is_imported_by_name_loads_its_module_when_called():
    program = """
from importlib.metadata import entry_points
import importlib.metadata
before = is_loaded(importlib.metadata)
found = entry_points(group="no-such-group")
print(before, len(found), is_loaded(importlib.metadata))
"""
    assert _run(program) == ["False", "0", "True"]


def test_missing_attribute_is_an_attribute_error():
    program = """
import pickle
try:
    pickle.no_such_name
except AttributeError as error:
    print("AttributeError")
print(hasattr(pickle, "__path__"), is_loaded(pickle))
"""
    assert _run(program) == ["AttributeError", "False", "True"]


def test_digests_are_the_same_without_openssl():
    """Guards against processes that score members or check pieces differently."""
    data = b"piece" * 5000
    program = f"""
import hashlib
data = {data!r}
print(hashlib.sha256(data).hexdigest())
print(hashlib.blake2b(data, digest_size=8, person=b"prompt-part").hexdigest())
print("_hashlib" in sys.modules and sys.modules["_hashlib"] is None)
"""
    blake2b = hashlib.blake2b(data, digest_size=8, person=b"prompt-part")
    sha256 = hashlib.sha256(data)
    assert _run(program) == [sha256.hexdigest(), blake2b.hexdigest(), "True"]
