#!/usr/bin/env bash
# Builds the stand-ins of the cases; run in the repository after the build of the deploy file.
set -eu
cd "$(dirname "$0")/.."
go build -o target/review-stand review/stand/*.go
