#!/bin/sh
# Builds what the scripts of cases 11 to 15 start besides the programs of the deploy
# file: the stand-ins are Python, the review's own and the project's, so that they are
# compiled to bytecode and imported once.
cd "$(dirname "$0")/.." || exit 2
python3 -m compileall -q src/bamboolever/platform/standins || exit 1
for folder in review/standins_3 review/1[1-5]; do
    if [ -d "$folder" ]; then
        python3 -m compileall -q "$folder" || exit 1
    fi
done
PYTHONPATH=target/deps:review/standins_3 python3 -c "import deployment"
