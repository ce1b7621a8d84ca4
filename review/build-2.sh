#!/bin/sh
# Builds the program that plays the cases 6 to 10 and their stand-ins. It needs no network: the
# program uses the standard library only.
set -e
cd "$(dirname "$0")/.."
mkdir -p bin
CGO_ENABLED=0 GOPROXY=off go build -o bin/stage ./review/stage
