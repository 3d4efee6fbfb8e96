#!/bin/sh
# Builds the stand-ins that the scripts of the cases 6 to 10 start.
set -e
cd "$(dirname "$0")/.."
go build -o bin/stand-2 ./review/.stand-2
