#!/bin/sh
# Compiles the stand-ins of the review into target/review. Needs the project's build, see
# deploy/service.toml: target/cherryspool.jar for JSON, target/test-classes for the fake state store.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review
javac -nowarn -proc:none -d target/review -cp target/test-classes:target/cherryspool.jar \
  review/standins/review/*.java
