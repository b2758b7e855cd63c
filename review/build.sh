#!/usr/bin/env bash
# Builds the stand-ins of the cases. They are Python and use the libraries that
# the deploy file's build has put under target/deps.
set -eu
cd "$(dirname "$0")/.."
python3 -m compileall -q review
PYTHONPATH=target/deps:review:. python3 -c "import group_case"
