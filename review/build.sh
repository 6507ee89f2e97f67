#!/bin/sh
# Builds the stand-ins of the cases: compiles them in place of a build, as they are plain
# Python without a dependency. The programs themselves come from the deploy file's build.
set -e
cd "$(dirname "$0")/.."
cache=$(mktemp -d)
PYTHONPYCACHEPREFIX=$cache python3 -m compileall -q review
rm -rf "$cache"
