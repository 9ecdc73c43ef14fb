#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run. TROUBLE=0 names three machines with a disk as seeds.
set -u
here=$(cd "$(dirname "$0")" && pwd)
cd "$here/../.." || exit 2
[ -d target/review-3 ] && [ -d target/lib ] || { echo "build first: deploy/system.toml, then review/build-3.sh"; exit 2; }
timeout -k 5 110 java -Xmx128m -cp target/review-3 DisklessSeeds "$here/record.txt"
status=$?
[ "$status" -le 2 ] || status=2
exit "$status"
