#!/usr/bin/env bash
# The stand-ins of the scripts in review/4 to review/8 are Python (3.9 or later, standard library only): checks that they can be run.
cd "$(dirname "$0")" || exit 1
exec python3 -B - common-2/*.py [4-8]/*.py <<'P'
import sys
assert sys.version_info >= (3, 9), "Python 3.9 or later"
for name in sys.argv[1:]:
    compile(open(name, encoding="utf-8").read(), name, "exec")
P
