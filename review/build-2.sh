#!/bin/sh
# Builds the stand-ins of the second review: plain Python files, which are only checked here.
set -eu
cd "$(dirname "$0")/.."
for file in review/standins2.py review/[4-8]/case.py; do
    [ -e "$file" ] || continue
    python3 -c 'import ast, sys; ast.parse(open(sys.argv[1], encoding="utf-8").read())' "$file"
done
