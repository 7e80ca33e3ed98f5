#!/bin/sh
# The stand-ins of the cases 6 to 10 are Python: there is nothing to build. Fails where they can't run.
cd "$(dirname "$0")" || exit 1
for each in *2.py [6-9]/*.py 10/*.py; do
  [ -f "$each" ] || continue
  python3 -c 'import ast, sys; ast.parse(open(sys.argv[1]).read())' "$each" || exit 1
done
