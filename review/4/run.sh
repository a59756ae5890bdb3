#!/usr/bin/env bash
# Exit code: 1 the rule was broken, 0 it held, 2 the case could not run.
# TROUBLE=0 leaves out the disruption.
set -u
Folder=$(cd "$(dirname "$0")" && pwd)
cd "$Folder/../.." || exit 2
[ -x review/build/late_in_grace ] || exit 2
timeout -k 5 110 review/build/late_in_grace "$Folder"
Code=$?
case $Code in 0 | 1) exit $Code ;; *) exit 2 ;; esac
