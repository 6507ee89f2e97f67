"""The platform's names are used only in the adapter."""

import re
from pathlib import Path

import bamboolever

SOURCE = Path(bamboolever.__file__).parent
WIRE_NAMES = re.compile(r"(?<![\w-])Bamboolever-[A-Z]|/-/[a-z]")


def test_wire_names_are_used_only_in_the_adapter():
    found = [
        str(path.relative_to(SOURCE))
        for path in SOURCE.rglob("*.py")
        if "platform" not in path.relative_to(SOURCE).parts
        and WIRE_NAMES.search(path.read_text())
    ]
    assert found == []


def test_adapter_does_not_import_decision_modules():
    forbidden = re.compile(r"from bamboolever\.(calls|daemons)\.(?!settings)")
    found = [
        path.name
        for path in (SOURCE / "platform").glob("*.py")
        if forbidden.search(path.read_text())
    ]
    assert found == []
