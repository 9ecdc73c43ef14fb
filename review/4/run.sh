#!/usr/bin/env bash
# Heartbeats of another writer take the engines of a route that was added out of service.
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")/../.." || exit 2
[ -f target/review/bamboohatch/review/Main.class ] && [ -d target/lib ] || { echo "build first" >&2; exit 2; }
exec java -cp target/review bamboohatch.review.Main stray-beat review/4/record.txt
