#!/usr/bin/env bash
# Builds dist/baobabstream, one file that needs only Python 3.11, and checks that it runs as one
# process. Packages come from the virtual environment at their pinned versions.
set -euo pipefail
cd "$(dirname "$0")/.."
bin="${VENV:-.venv}/bin"
stage="$(mktemp -d)"
trap 'rm -rf "$stage"' EXIT
"$bin/python" scripts/stage_package.py "$stage"
mkdir -p dist
"$bin/shiv" --site-packages "$stage" --entry-point baobabstream.cli.app:main --reproducible \
    --compressed --python "/usr/bin/env python3.11" --output-file dist/baobabstream
"$bin/python" scripts/check_package.py dist/baobabstream
