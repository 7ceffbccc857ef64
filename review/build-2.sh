#!/bin/sh
# Compiles the stand-ins and the cases of the second review. Run it after the build of the deploy
# file; needs no network.
set -e
cd "$(dirname "$0")/.."
rm -rf target/review-2
mkdir -p target/review-2
javac -nowarn -cp target/cherryspool.jar -d target/review-2 review/standins-2/*.java
