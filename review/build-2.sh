#!/usr/bin/env bash
# Builds the stand-ins of the cases 6 to 10 into bin/review-2, with the modules at hand and no network.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p bin/review-2
go build -o bin/review-2/stand2 ./review/stand2
