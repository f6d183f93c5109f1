#!/usr/bin/env bash
# TROUBLE=0 runs the same without the disruption.
set -u
cd "$(dirname "$0")"
export TROUBLE="${TROUBLE:-1}"
exec python3 -B case.py
