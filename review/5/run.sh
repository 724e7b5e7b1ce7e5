#!/usr/bin/env bash
# Six control hosts accept hundreds of changes of a configuration that has grown; with TROUBLE=0 it
# doesn't grow. Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.
set -uo pipefail
here="$(cd "$(dirname "$0")" && pwd)"
cd "$here/../.." || exit 2
program=target/packages/greengagevalved/greengagevalved
standin=target/review/growing_configurations
if [ ! -x "$program" ] || [ ! -x "$standin" ]; then
  echo "run the build of deploy/system.toml and review/build.sh first" >&2
  exit 2
fi
folder="$(mktemp -d)" || exit 2
trap 'rm -rf "$folder"' EXIT
timeout --kill-after=2 117 "$standin" "$program" "$folder" "$here/record.txt" "${TROUBLE:-1}"
result=$?
case "$result" in 0 | 1) exit "$result" ;; *) exit 2 ;; esac
