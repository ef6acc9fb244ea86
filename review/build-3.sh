#!/bin/bash
# Builds the stand-ins of the cases 11 to 15. They are Python programs that use
# the standard library only, so this compiles them.
cd "$(dirname "$0")" && python3 -m compileall -q harness-3 11 12 13 14 15
