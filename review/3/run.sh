#!/usr/bin/env bash
# Plays the case "drain-after-loss". Exits with 1 if the rule was broken, 0 if it held, and 2 if the case couldn't run. With
# TROUBLE=0 it does the same without the disruption. Needs the build of deploy/system.toml, and review/build.sh.
set -uo pipefail
cd "$(dirname "$0")/../.."
[ -x target/release/bellyoke-node ] && [ -x target/review/standin ] || exit 2
temporary=$(mktemp -d) || exit 2
trap 'rm -rf "$temporary"' EXIT
TMPDIR="$temporary" timeout -k 2 115 target/review/standin drain-after-loss review/3
status=$?
[ $status -le 1 ] || exit 2
exit $status
