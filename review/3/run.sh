#!/usr/bin/env bash
# Exit code: 1 if the rule was broken, 0 if it held, 2 if the case could not run.
cd "$(dirname "$0")" || exit 2
rm -f record.txt
PYTHONDONTWRITEBYTECODE=1 PYTHONPATH=../standins timeout -k 5 118 python3 case.py
code=$?
# An error of the script itself must not pass for a result.
case "$code $(tail -n 1 record.txt 2>/dev/null)" in
  "1 "*"result: the rule was broken") exit 1 ;;
  "0 "*"result: the rule held") exit 0 ;;
esac
exit 2
