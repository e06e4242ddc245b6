#!/bin/sh
# Builds the stand-ins of the review's scripts with the compiler alone, without packages.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review
rustc --edition 2024 -O -o target/review/stand-ins review/stand-ins/main.rs
