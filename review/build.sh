#!/bin/bash
# Builds the stand-ins of the cases, with nothing but the standard library.
set -e
cd "$(dirname "$0")/standin"
CGO_ENABLED=0 GOFLAGS=-mod=mod GOPROXY=off GOWORK=off go build -o ../bin/standin .
