#!/bin/sh
# The stand-ins of the scripts are Python programs of this folder; they need no build. Checks that they can be read.
set -eu
cd "$(dirname "$0")"
python3 - <<'EOF'
import ast, pathlib
for path in sorted(pathlib.Path(".").rglob("*.py")):
    ast.parse(path.read_text(), str(path))
EOF
