#!/usr/bin/env bash
# Builds the stand-ins of the review's scripts. They are Python without libraries of their own, so
# that compiling them shows all that can be missing.
set -euo pipefail
cd "$(dirname "${BASH_SOURCE[0]}")"
cache=$(mktemp -d)
trap 'rm -rf "$cache"' EXIT
find . -name '*.py' -print0 | PYTHONPYCACHEPREFIX="$cache" xargs -0 python3 -m py_compile
