#!/bin/sh
# 1: the rule was broken; 0: it held; 2: the case could not run. TROUBLE=0: without the disruption.
cd "$(dirname "$0")"
test -x ../../target/bin/tamaracklatch-node || exit 2
python3 case.py
code=$?
case $code in 0|1) exit $code ;; *) exit 2 ;; esac
