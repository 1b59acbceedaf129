#!/bin/sh
# Builds the stand-ins of the cases with the compiler alone.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review
rustc --edition 2024 -O -o target/review/review-standin review/standin.rs
