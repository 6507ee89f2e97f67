"""The platform's names stay in the adapter."""

import re
from pathlib import Path

import bamboolever

SOURCE = Path(bamboolever.__file__).parent
WIRE_NAMES = re.compile(r"(?<![\w-])Bamboolever-[A-Z]|/-/[a-z]")


def test_no_module_outside_the_adapter_knows_a_name_of_the_wire():
    found = [
        str(path.relative_to(SOURCE))
        for path in SOURCE.rglob("*.py")
        if "platform" not in path.relative_to(SOURCE).parts
        and WIRE_NAMES.search(path.read_text())
    ]
    assert found == []


def test_adapter_imports_no_decisions():
    forbidden = re.compile(r"from bamboolever\.(calls|daemons)\.(?!settings)")
    found = [
        path.name
        for path in (SOURCE / "platform").glob("*.py")
        if forbidden.search(path.read_text())
    ]
    assert found == []
