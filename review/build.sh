#!/bin/sh
# Builds the stand-in program of the scripts, target/review-stand, from its sources in
# review/.stand. The name of the folder keeps it out of ./... and of the house rules. It
# uses the standard library only.
set -e
cd "$(dirname "$0")/.stand"
mkdir -p ../../target
go build -o ../../target/review-stand .
