#!/bin/bash
# Builds the stand-ins of the cases 6 to 10 into target/. The deploy file builds pomelolockd.
set -e
cd "$(dirname "$0")/standin-2"
mkdir -p ../../target
GOFLAGS=-mod=mod GOWORK=off go build -o ../../target/review-standin-2 .
