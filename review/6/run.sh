#!/bin/sh
# Exits with 1 if the rule of claim.txt was broken, 0 if it held, 2 if the case could not run.
# Run review/build-2.sh first. TROUBLE=0 leaves the disruption out.
folder=$(cd "$(dirname "$0")" && pwd)
cd "$folder/../.." || exit 2
[ -f target/cherryspool.jar ] && [ -d target/review-2 ] || exit 2
exec timeout -k 2 118 java -Xmx512m -cp target/review-2:target/cherryspool.jar CaseLeftWaiting "$folder"
