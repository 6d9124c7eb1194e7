#!/bin/bash
# The stand-ins of the cases need the standard library alone; this checks that they
# compile. The gateway itself is built by the command of the deploy file.
set -e
cd "$(dirname "$0")"
python3 - common/*.py [0-9]*/case.py <<'CHECK'
import sys

for path in sys.argv[1:]:
    with open(path) as source:
        compile(source.read(), path, "exec")
CHECK
