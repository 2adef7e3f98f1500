#!/usr/bin/env bash
# Builds the stand-ins and scenarios that the cases start.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -tags review -o target/reviewcases ./review/cases
