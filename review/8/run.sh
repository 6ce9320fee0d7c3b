#!/bin/sh
# Runs the case. Exits with 1 if the rule was broken, 0 if it held, 2 if the case
# couldn't run.
cd "$(dirname "$0")/../.." || exit 2
exec env PYTHONPATH=target/deps:target/review-2 python3 -S review/8/case.py
