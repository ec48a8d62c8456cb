#!/usr/bin/env bash
# Builds the stand-ins that the scripts of review/9 on start, the project's own too: compiles them
# and loads them once against the dependencies of the deploy file's build.
set -eu
cd "$(dirname "$0")/.."
export PYTHONPATH="target/deps:."
python3 -m compileall -q standins review/crash_loop.py review/blocked_jobs.py \
    review/overdue_times.py
python3 -c 'import review.crash_loop, review.blocked_jobs, review.overdue_times'
