#!/bin/sh
# Checks that the stand-ins compile; they need nothing but the standard library
# and the build of the deploy file.
set -eu
cd "$(dirname "$0")"
for file in standins.py */case.py; do
  python3 -c "import ast, sys; ast.parse(open(sys.argv[1]).read())" "$file"
done
