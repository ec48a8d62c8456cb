#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
cd "$(dirname "$0")/../.." || exit 2
case_folder="review/$(basename "$(dirname "$(realpath "${BASH_SOURCE[0]}")")")"
PYTHONPATH="$PWD:$PWD/target/deps" timeout -k 5 115 python3 "$case_folder/case.py"
status=$?
case $status in 0 | 1) exit $status ;; *) exit 2 ;; esac
