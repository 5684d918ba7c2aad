#!/bin/sh
# Builds the stand-ins of cases 6 to 10, after the line `build` of the deploy file. They are Python and bring nothing.
cd "$(dirname "$0")/.." || exit 1
exec .venv/bin/python -m compileall -q review/rig2.py saltport/standins
