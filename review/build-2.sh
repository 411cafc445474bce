#!/usr/bin/env bash
# Builds the stand-ins that the scripts of review/6 to review/10 start, from the repository's root, without a network.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-2
go build -o target/review-2/world ./review/.world-2
