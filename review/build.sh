#!/usr/bin/env bash
# Builds the stand-ins and drivers that the scripts of the cases start.
set -euo pipefail
cd "$(dirname "$0")/stand"
GOFLAGS= GOWORK=off GOTOOLCHAIN=local go build -buildvcs=false -o ../bin/stand .
