#!/usr/bin/env bash
# Builds the stand-ins that the scripts of review/9 on start, the project's own too: compiles them
# and loads them once against the dependencies of the deploy file's build.
set -eu
cd "$(dirname "$0")/.."
export PYTHONPATH="target/deps:."
python3 -m compileall -q standins review/loopback_deployment.py review/overdue_times.py \
    review/blocked_jobs.py review/cancelled_in_doubt.py
for module in loopback_deployment overdue_times blocked_jobs cancelled_in_doubt; do
    python3 -c "import review.$module"
done
