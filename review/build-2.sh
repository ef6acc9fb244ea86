#!/usr/bin/env bash
# Builds the stand-ins of the cases 6 to 10: Python, standard library only.
set -euo pipefail
cd "$(dirname "$0")"
python3 -m compileall -q harness-2
