#!/usr/bin/env bash
# Builds the stand-ins that the scripts start: Python, standard library only.
set -euo pipefail
cd "$(dirname "$0")"
python3 -m compileall -q harness
