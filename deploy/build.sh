#!/bin/sh
# Installs the node and its runtime dependencies in target/deps and compiles
# them to bytecode.
set -eu
if [ ! target/deps/.requirements -nt deploy/requirements.lock ]; then
  python3 -m pip install -q --upgrade --require-hashes \
    --target target/deps -r deploy/requirements.lock
  touch target/deps/.requirements
fi
rm -rf target/deps/lycheestair
mkdir -p target/deps/lycheestair
cp src/lycheestair/*.py target/deps/lycheestair/
cp -r src/lycheestair/sidecar src/lycheestair/platform target/deps/lycheestair/
find target/deps/lycheestair -name __pycache__ -prune -exec rm -r {} +
python3 -OO -m compileall -q target/deps
