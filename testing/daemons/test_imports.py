"""Guards against imports that make each process of a role heavier.

A module that is added here costs its memory in every process of the role; see the table
of modules in docs/CAPACITY.md.
"""

import json
import subprocess
import sys

import pytest

COMMON_PACKAGES = {
    "annotated_types",
    "h11",
    "pydantic",
    "pydantic_core",
    "pythonjsonlogger",
    "thrift",
    "typing_extensions",
    "typing_inspection",
}
ALLOWED_PACKAGES = {
    "agent": COMMON_PACKAGES,
    "entry": COMMON_PACKAGES | {"opentelemetry"},
}
# The modules beside the packages of `bamboolever` are the product's older interface.
ALLOWED_FLAT_MODULES = {
    "agent": {"_exchange_protocol", "_subset", "_task", "_telemetry"},
    "entry": {
        "_exchange_protocol",
        "_ratelimit",
        "_retry",
        "_subset",
        "_task",
        "_telemetry",
    },
}
# Agents do not queue or place requests.
ENTRY_ONLY_MODULES = {
    "bamboolever.calls.dispatcher",
    "bamboolever.calls.placement",
    "bamboolever.daemons.entry",
    "bamboolever.daemons.relay",
}

PROGRAM = """
import sys
at_start = set(sys.modules)
from bamboolever.daemons import deferredimports
deferredimports.install()
import json
from bamboolever.daemons import process
from bamboolever.platform import nodefile
role, document = sys.argv[1:]
process.make_daemon(role, nodefile.decode_settings(json.loads(document)))
imported = set(sys.modules) - at_start
report = {
    "modules": sorted(imported),
    "packages": sorted({name.partition(".")[0] for name in imported}),
    "loaded": sorted(
        name
        for name in deferredimports.DEFERRED_MODULES & imported
        if deferredimports.is_loaded(sys.modules[name])
    ),
}
print(json.dumps(report))
"""


@pytest.fixture(params=["agent", "entry"])
def role(request):
    return request.param


@pytest.fixture
def imported(site, role):
    """What a process of the role has imported when its daemon has been built."""
    engine = site.add_engine("engine-1", "127.0.0.2") if role == "agent" else None
    document = site.make_settings(name="process-1", host="127.0.0.1", upstream=engine)
    finished = subprocess.run(
        [sys.executable, "-c", PROGRAM, role, json.dumps(document)],
        stdout=subprocess.PIPE,
        check=True,
        timeout=60,
    )
    return json.loads(finished.stdout)


def test_role_imports_only_the_packages_that_it_needs(role, imported):
    packages = set(imported["packages"]) - sys.stdlib_module_names
    others = packages - ALLOWED_PACKAGES[role] - {"bamboolever"}
    assert not others


def test_role_imports_nothing_of_the_older_interface(role, imported):
    flat = {
        name.split(".")[1]
        for name in imported["modules"]
        if name.startswith("bamboolever._")
    }
    assert not flat - ALLOWED_FLAT_MODULES[role]


def test_agent_imports_nothing_that_only_entries_need(role, imported):
    is_entry = role == "entry"
    assert ENTRY_ONLY_MODULES & set(imported["modules"]) == (
        ENTRY_ONLY_MODULES if is_entry else set()
    )


def test_modules_that_no_daemon_needs_are_not_loaded(role, imported):
    assert not imported["loaded"]
    assert "_hashlib" in imported["modules"]
    assert "_ssl" not in imported["modules"]
    assert not [name for name in imported["modules"] if name.startswith("email")]
