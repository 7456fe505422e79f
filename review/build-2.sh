#!/usr/bin/env bash
# Builds the stand-ins that the scripts of the second review start. They are Python programs without dependencies, so
# this only checks that each of them can be compiled; the programs under test come from the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")"
for program in standins-2/*.py [6-9]/*.py 10/*.py; do
  [ -e "$program" ] || continue
  python3 -B -c 'import sys; compile(open(sys.argv[1]).read(), sys.argv[1], "exec")' "$program"
done
