#!/bin/sh
# Builds every stand-in that the scripts of the second review start, with rustc alone: review/stand-2 needs no package.
# To be run after the build of the deploy file.
cd "$(dirname "$0")/.." || exit 2
mkdir -p target/review-2 || exit 2
for source in review/stand-2/*.rs; do
    name=$(basename "$source" .rs)
    [ "$name" = common ] && continue
    rustc --edition 2021 -O -A dead_code -A unused_imports -o "target/review-2/$name" "$source" || exit 2
done
