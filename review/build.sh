#!/usr/bin/env bash
# Builds what the scripts of the cases start: their stand-ins are Python and need only the
# packages of the deploy file's build, which is run here unless it has been.
cd "$(dirname "$0")/.." || exit 1
[ target/deps -nt requirements-run.txt ] ||
    python3 -m pip install -q -U --target target/deps -r requirements-run.txt || exit 1
PYTHONPATH="$PWD:$PWD/target/deps" python3 -c 'import review.deployment'
