#!/bin/sh
# Builds the stand-ins of the second review's cases, into target/review-2. They need the standard library alone and no
# network. The project's own programs are built by the command of the deploy file.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review-2
for source in review/standins-2/case_*.rs; do
    name=$(basename "$source" .rs)
    rustc --edition 2024 -O -o "target/review-2/$name" "$source"
done
