#!/bin/sh
# Builds the stand-ins of the third review. Run it in the root of the repository or elsewhere.
set -eu
cd "$(dirname "$0")/standin-3"
mkdir -p bin
GOWORK=off go build -o bin/standin3 .
