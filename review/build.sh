#!/bin/sh
# Builds the stand-ins. They need only Python's standard library, so this checks that they compile.
set -e
cd "$(dirname "$0")"
for each in standin.py */case.py; do
    python3 -c 'import ast, sys; ast.parse(open(sys.argv[1], encoding="utf-8").read())' "$each"
done
