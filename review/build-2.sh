#!/bin/sh
# Builds the stand-ins of the second review's scripts. Needs the compiler only.
set -e
cd "$(dirname "$0")/.."
mkdir -p target/review-2
rustc --edition 2024 -O -o target/review-2/standin review/standin-2/main.rs
