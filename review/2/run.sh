#!/bin/sh
# Runs the case; TROUBLE=0 leaves the disruption out.
folder=$(cd "$(dirname "$0")" && pwd)
export PYTHONPATH="$folder/../common"
exec python3 "$folder/case.py"
