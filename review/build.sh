#!/bin/sh
# The stand-ins of all cases are Python files of this folder; they need the standard library only.
set -eu
cd "$(dirname "$0")/.."
.venv/bin/python -m compileall -q review
