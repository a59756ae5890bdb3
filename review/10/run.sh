#!/usr/bin/env bash
# Runs this case after the build of the deploy file and review/build-2.sh.
# Exit: 0 the rule held, 1 it was broken, 2 the case could not run.
set -u
cd "$(dirname "$0")" || exit 2
Case=$(basename "$PWD")
Program=../../target/sesamepaddle
[ -x "$Program" ] && [ -x "../build/case-$Case" ] || exit 2
Folder=$(mktemp -d) || exit 2
trap 'rm -rf "$Folder"' EXIT
timeout -k 5 110 "../build/case-$Case" "$Folder" "$(realpath "$Program")" record.txt
Status=$?
[ "$Status" -le 1 ] || exit 2
exit "$Status"
