#!/usr/bin/env bash
# A replica that lacks acknowledged commits is promoted (SyncReplicas 1).
# Exit 1: the rule was broken; 0: it held; 2: the case could not run.
cd "$(dirname "$0")" || exit 2
PYTHONDONTWRITEBYTECODE=1 PYTHONPATH=../standin \
  timeout -s INT -k 5 112 python3 case.py
code=$?
[ "$code" -le 1 ] || code=2
exit "$code"
