#!/bin/bash
# Checks that the stand-ins of the cases 6 to 10 can be loaded. They are Python
# and use what the deploy file's build has put under target/deps.
cd "$(dirname "$0")/.." || exit 2
export PYTHONPATH=target/deps:. PYTHONDONTWRITEBYTECODE=1
exec python3 -c "import review.rig_2, review.workers_2"
