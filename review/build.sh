#!/bin/sh
# Checks and compiles the stand-ins that the scripts start. They need only Python's
# standard library; the nodes come from the build of the deploy file.
set -e
cd "$(dirname "$0")"
for file in standins/*.py [0-9]/*.py; do
  [ ! -e "$file" ] || python3 -c 'import ast, sys; ast.parse(open(sys.argv[1]).read())' "$file"
done
