#!/bin/sh
# Checks and compiles the stand-ins of the second review; the build of the deploy
# file has to run before. The scripts take the programs and libraries from
# target/deps, the store from tests/platform_standins.py, and the rest from lab2.py.
set -eu
cd "$(dirname "$0")/.."
if [ ! -d target/deps/lycheestair ]; then
  sh deploy/build.sh
fi
rm -rf target/review-2
mkdir -p target/review-2
cp tests/platform_standins.py review/lab2.py target/review-2/
python3 -m compileall -q target/review-2
PYTHONPATH=target/deps:target/review-2 python3 -S -c "import lab2, platform_standins"
