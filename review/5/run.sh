#!/usr/bin/env bash
# Exit status: 1 the rule was broken, 0 it held, 2 the case could not run.
cd "$(dirname "$0")/../.." && PYTHONPATH=target/deps exec python3 review/5/case.py
