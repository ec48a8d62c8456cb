#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
case_folder="$(cd "$(dirname "${BASH_SOURCE[0]}")" && pwd)" || exit 2
cd "$case_folder/../.." || exit 2
PYTHONPATH="$PWD:$PWD/target/deps" timeout -k 5 115 python3 "$case_folder/case.py"
case $? in 0) exit 0 ;; 10) exit 1 ;; *) exit 2 ;; esac
