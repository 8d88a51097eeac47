#!/usr/bin/env bash
# Builds the stand-ins of the second review's scripts. They use the standard library only.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target
cd review/kit-2
GOWORK=off GOFLAGS=-mod=mod GOPROXY=off go build -o ../../target/review-kit-2 .
