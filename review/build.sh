#!/usr/bin/env bash
# The stand-ins are Python of the standard library: there is nothing to build. This
# checks that they and the cases can be loaded, and that the build of the deploy file
# is there.
set -euo pipefail
cd "$(dirname "$0")/.."
PYTHONPATH=review:target/deps python3 - <<'PY'
import ast
import pathlib
import tornado

from harness import link, minions, record, scenario, store, system, web  # noqa: F401

for path in pathlib.Path("review").rglob("*.py"):
    ast.parse(path.read_text())
PY
