#!/usr/bin/env bash
# Builds what the scripts of the second review start, apart from the programs of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -o target/review-second ./review/second
