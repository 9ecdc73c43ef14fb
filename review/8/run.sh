#!/usr/bin/env bash
# Plays the case and writes record.txt beside this file. Exit status: 1 the rule was broken, 0 it held, 2 the case could not
# run. TROUBLE=0 plays it without the disruption.
set -u
folder=$(cd "$(dirname "$0")" && pwd)
cd "$folder/../.."
if [ ! -d target/lib ] || [ ! -d target/review-2 ]; then
  echo "run the build command of deploy/system.toml and review/build-2.sh first" >&2
  exit 2
fi
exec java -Xmx1g -cp target/review-2 DeadlyRequestCase "$folder/record.txt"
