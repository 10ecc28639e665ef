#!/usr/bin/env bash
# Builds the stand-ins of the cases 11 to 15: they are Python without dependencies, so
# this only compiles them. The nodes need the build of deploy/system.toml.
set -euo pipefail
cd "$(dirname "$0")/.."
python3 -c 'import sys; sys.exit(sys.version_info < (3, 11))'
python3 -m compileall -q review/harness_3 review/1[1-5]
test -d target/deps
