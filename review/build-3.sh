#!/bin/sh
# Builds the stand-ins of cases 11 to 15. It needs the build of the deploy file for the
# daemons, and no network: the stand-ins use the standard library only.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target
GOTOOLCHAIN=local GOFLAGS=-mod=mod go build -C review/stand-3 -o ../../target/review-3 .
