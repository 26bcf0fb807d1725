#!/bin/sh
# Builds a release and puts it in force as target/deps, where the platform's
# Python finds it. Needs none of the tests.
exec python3 "$(dirname "$0")/build_release.py"
