#!/usr/bin/env bash
# Plays the case; TROUBLE=0 leaves the disruption out. Exits 1 if the rule is broken.
set -u
folder=$(cd "$(dirname "$0")" && pwd)
cd "$folder/../.." || exit 2
export PYTHONPATH="target/deps:."
exec python3 -m review.cancelled_in_doubt "$folder"
