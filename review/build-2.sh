#!/bin/sh
# Checks the stand-ins of cases 6 to 10. They are Python programs that use the standard
# library only, and each case starts them itself, so there is nothing else to build.
cd "$(dirname "$0")/.." && exec python3 -m compileall -q review/harness_2
