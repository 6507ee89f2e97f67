#!/bin/sh
# Builds the stand-ins of cases 6 to 10: the project's own come with the deploy file's
# build, and those of the review are Python sources, so that they only need to compile.
set -e
cd "$(dirname "$0")/.."
PYTHONPATH=target/deps python3 -c "import bamboolever.platform.standins.site"
python3 - <<'CHECK'
import pathlib
for path in sorted(pathlib.Path("review").glob("*/*.py")):
    compile(path.read_text(), str(path), "exec")
CHECK
