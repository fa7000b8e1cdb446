#!/bin/sh
# Builds the stand-ins of the cases 6 to 10 (Python, standard library only): compiles them, and checks
# that the virtual environment of the deploy file's build can import them.  Run it after that build.
set -eu
cd "$(dirname "$0")/.."
for folder in common_2 6 7 8 9 10; do
    if [ -d "review/$folder" ]; then
        .venv/bin/python -m compileall -q "review/$folder"
    fi
done
PYTHONPATH=review/common_2 .venv/bin/python -c "import rig"
