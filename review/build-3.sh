#!/bin/sh
# The stand-ins of this review are Python programs that need the standard library alone: nothing is built. This checks
# that they can be read, and that the program of the deploy file is there.
cd "$(dirname "$0")/.." || exit 2
python3 -c '
import ast, pathlib
for name in sorted(pathlib.Path("review").glob("rig3/*.py")) + [p for n in range(11, 16) for p in pathlib.Path(f"review/{n}").glob("*.py")]:
    ast.parse(name.read_text())
' || exit 2
test -x target/bin/tamaracklatch-node || { echo "build the program of the deploy file first"; exit 2; }
