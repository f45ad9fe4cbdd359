#!/usr/bin/env bash
# Prepares the stand-ins of the cases 6 to 10. They are scripts of Python's standard library, so nothing is compiled; this
# checks that they can be read, and that the program of the deploy file was built.
set -euo pipefail
cd "$(dirname "$0")/.."
for file in review/standin-2/world.py review/{6,7,8,9,10}/case.py; do
  [ ! -e "$file" ] || python3 -c 'import ast, sys; ast.parse(open(sys.argv[1], encoding="utf-8").read())' "$file"
done
[ -x target/bin/camphormux-node ] || { echo "target/bin/camphormux-node is missing: run the build of the deploy file" >&2; exit 1; }
