#!/bin/sh
# Builds the stand-ins of cases 6 and on: Python files that need the standard library only.
set -eu
cd "$(dirname "$0")"
exec python3 -m compileall -q stand_ins 6 7 8 9 10
