#!/bin/sh
# Builds the stand-ins of the second review. It needs no network and no package.
cd "$(dirname "$0")/.." || exit 2
mkdir -p target/review-2 || exit 2
exec rustc --edition 2024 -O review/lib-2/main.rs -o target/review-2/review-2
