#!/bin/sh
# Compiles the test bed of the third review; it needs nothing but Python.
cd "$(dirname "$0")/.." || exit 1
exec python3 -m py_compile review/bed3.py review/1[1-5]/case.py
