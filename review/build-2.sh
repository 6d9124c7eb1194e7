#!/usr/bin/env bash
# Checks that the scripts of cases 6 to 10 can run: their stand-ins are Python programs
# that use the libraries in `target/deps`, which the build of the deploy file makes.
cd "$(dirname "${BASH_SOURCE[0]}")/.." || exit 2
if ! [ -d target/deps ]; then
    echo "target/deps is missing: run the build of deploy/system.toml first" >&2
    exit 2
fi
PYTHONPATH=target/deps:.:review python3 - <<'PYTHON'
import importlib

for name in ("aiohttp", "carobroute.gateway", "common2.deployment", "common2.runner"):
    importlib.import_module(name)
PYTHON
