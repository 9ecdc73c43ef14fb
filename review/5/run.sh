#!/usr/bin/env bash
# A late heartbeat brings back an engine whose departure was acknowledged.
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")/../.." || exit 2
[ -f target/review/bamboohatch/review/Main.class ] && [ -d target/lib ] || { echo "build first" >&2; exit 2; }
exec java -cp target/review bamboohatch.review.Main late-beat review/5/record.txt
