#!/usr/bin/env bash
# Builds every stand-in that a case starts, into review/bin. To be run after the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p review/bin
for main in review/*/main.go; do
  folder=$(dirname "$main")
  go build -o "review/bin/$(basename "$folder")" "./$folder"
done
