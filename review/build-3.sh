#!/usr/bin/env bash
# Builds the stand-ins of the third review's scripts, after the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -tags review3 -ldflags=-linkmode=external -o target/ ./review/standins-3
