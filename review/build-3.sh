#!/bin/sh
# Prepares the stand-ins of the cases 11 to 15: they are Python programs, which need no build step.
# Checks that each of them compiles, and leaves no file behind.
cd "$(dirname "$0")" || exit 1
for file in standins-3/*.py 1[1-5]/*.py; do
    [ -e "$file" ] || continue
    python3 -c 'import sys; compile(open(sys.argv[1]).read(), sys.argv[1], "exec")' "$file" || exit 1
done
