#!/usr/bin/env bash
# Creates the virtual environment and installs the pinned packages when they have changed.
set -euo pipefail
cd "$(dirname "$0")/.."
venv="${VENV:-.venv}"
stamp="$venv/requirements.stamp"
wanted="$(cat requirements.txt requirements-dev.txt | sha256sum)"
if [ -f "$stamp" ] && [ "$(cat "$stamp")" = "$wanted" ]; then
    exit 0
fi
python3.11 -m venv "$venv"
"$venv/bin/pip" install --quiet --disable-pip-version-check -r requirements.txt -r requirements-dev.txt
"$venv/bin/pip" install --quiet --disable-pip-version-check --no-deps --no-build-isolation -e .
printf '%s' "$wanted" >"$stamp"
