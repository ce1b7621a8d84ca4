#!/bin/sh
# Builds the program that plays the cases 6 to 10 and their stand-ins. It needs nothing but what the build of the deploy
# file has fetched.
set -e
cd "$(dirname "$0")/.."
mkdir -p bin
go build -o bin/stage ./review/stage
