#!/bin/sh
# The stand-ins are Python without dependencies: checks that they compile.
cd "$(dirname "$0")" || exit 2
for file in testbed.py */case.py; do
    python3 -c "import sys; compile(open(sys.argv[1]).read(), sys.argv[1], 'exec')" "$file" || exit 1
done
