#!/usr/bin/env bash
# Builds the stand-ins of the script cases 6 and later, without a network.
set -euo pipefail
cd "$(dirname "$0")/stand-2"
go build -o ../../target/ .
