#!/bin/sh
# Builds what the cases start beside the router: stand-ins in Python, standard library only. Run it after the
# build line of the deploy file, from anywhere; it needs no network.
set -e
cd "$(dirname "$0")/.."
test -x .venv/bin/python
.venv/bin/python -m compileall -q review saltport
