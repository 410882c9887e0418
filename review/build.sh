#!/usr/bin/env bash
# Checks and compiles the stand-ins of the review's scripts; they need Python 3 and no packages.
# The entry hosts are the program that the build of deploy/system.toml leaves in target/.
set -euo pipefail
cd "$(dirname "$0")"
python3 -m py_compile standins/*.py [0-9]*/case.py
