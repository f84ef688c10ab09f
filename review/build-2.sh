#!/usr/bin/env bash
# Builds the stand-ins that the scripts review/4 and later start.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -o target/review-2 ./review/standin-2
