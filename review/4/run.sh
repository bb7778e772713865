#!/usr/bin/env bash
# A planned stop cuts requests off that the node has just accepted.
# Exit 1: the rule was broken; 0: it held; 2: the case could not run.
cd "$(dirname "$0")"
PYTHONDONTWRITEBYTECODE=1 PYTHONPATH=../standin exec timeout -k 2 115 python3 case.py
