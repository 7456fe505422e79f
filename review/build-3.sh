#!/bin/sh
# Builds the stand-ins of review 3. They are Python programs that use its standard library only, so nothing is compiled:
# this checks that they and the program of the deploy file are there.
set -eu
cd "$(dirname "$0")/.."
python3 -c 'import sys; assert sys.version_info >= (3, 9), "Python 3.9 or newer is needed"'
python3 - <<'PY'
import ast, glob
for name in ["review/standins-3/standins.py"] + sorted(glob.glob("review/1[1-5]/*.py")):
    ast.parse(open(name).read(), name)
PY
test -x target/foxtailwheel-front || echo "target/foxtailwheel-front is missing: build deploy/system.toml first" >&2
