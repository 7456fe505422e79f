#!/usr/bin/env bash
# Builds the stand-ins that the scripts start. They are Python without other packages, so this only checks that they can
# be started: Python 3.11 or newer, and no error of syntax. Writes nothing.
set -euo pipefail
cd "$(dirname "$0")"
python3 -B - standins/*.py [0-9]*/*.py <<'PY'
import sys
assert sys.version_info >= (3, 11), "Python 3.11 or newer is needed"
for path in sys.argv[1:]:
    with open(path) as f:
        compile(f.read(), path, "exec")
print(f"{len(sys.argv) - 1} stand-ins and scripts can be started")
PY
