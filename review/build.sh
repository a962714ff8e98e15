#!/bin/sh
# Builds the stand-ins of the review's cases with rustc alone. The dispatcher is built by the deploy file's `build`.
set -eu
root=$(cd "$(dirname "$0")/.." && pwd)
mkdir -p "$root/target/review"
rustc --edition 2024 -O -o "$root/target/review/standin" "$root/review/standin/main.rs"
