#!/bin/sh
# The stand-ins are Python 3 scripts of the standard library, so there is nothing to compile. This
# checks that the interpreter reads them and that the program under test is there.
set -e
cd "$(dirname "$0")/.."
python3 -c 'import sys; assert sys.version_info >= (3, 9), "Python 3.9 or later is needed"'
for file in review/standin/*.py review/*/case.py; do
    python3 -c 'import ast, sys; ast.parse(open(sys.argv[1]).read(), sys.argv[1])' "$file"
done
test -x target/release/wigeonjunction || echo 'review/build.sh: target/release/wigeonjunction is missing; run the build of deploy/system.toml first' >&2
