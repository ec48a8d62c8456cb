#!/bin/sh
# Builds the stand-ins of the cases 4 to 8. They are Python modules of this repository that use the
# standard library only; the entry hosts need target/deps, from the build of the deploy file.
set -e
cd "$(dirname "$0")/.."
[ -d target/deps ] || { echo 'run the build of deploy/system.toml first'; exit 2; }
python3 -m compileall -q review/platform_log.py review/platform_runner.py \
    review/platform_fleet.py review/small_deployment.py review/4 review/5 review/6 review/7
