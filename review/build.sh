#!/usr/bin/env bash
# Builds the stand-ins that the scripts of this folder start. The build of the deploy file comes first.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
go build -o target/review/standin ./review/standin
