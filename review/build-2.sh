#!/bin/sh
# The stand-ins of the cases 4 to 6 are Python files beside their scripts: nothing has to be built.
# This checks that they compile, and writes nothing.
cd "$(dirname "$0")" || exit 1
exec python3 -c 'import sys; [compile(open(path).read(), path, "exec") for path in sys.argv[1:]]' \
    [456]/*.py
