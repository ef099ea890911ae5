#!/bin/sh
# The cases need the node alone, which the build line of deploy/system.toml makes, and
# stand-ins in Python (review/fleet.py and each run.py), which need no build. Python comes
# with meson, which the deploy file lists.
python3 -c 'import sys; sys.exit(sys.version_info < (3, 8))'
