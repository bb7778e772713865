#!/usr/bin/env bash
# Broken packets keep the event loop of a node busy long after the peers left.
# Exit 1: the rule was broken; 0: it held; 2: the case could not run.
cd "$(dirname "$0")"
PYTHONDONTWRITEBYTECODE=1 PYTHONPATH=../standin exec timeout -k 2 115 python3 case.py
