#!/usr/bin/env bash
# Builds the stand-ins of the cases 6 to 10: Python modules of the standard
# library, which are only compiled. The daemon comes from the deploy file.
cd "$(dirname "$0")/.." || exit 2
exec python3 -m py_compile review/standins.py review/[6-9]/case.py
