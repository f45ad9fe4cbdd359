#!/bin/sh
# The scripts' stand-ins are Python programs without dependencies; python3 is among the project's packages
# (tools/packages.txt). Nothing has to be built: this checks that they can run.
cd "$(dirname "$0")" || exit 1
for file in standin/*.py [1-5]/*.py; do
  python3 -c 'import sys; compile(open(sys.argv[1]).read(), sys.argv[1], "exec")' "$file" || exit 1
done
