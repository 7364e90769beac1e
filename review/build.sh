#!/usr/bin/env bash
# Builds the programs of the scripted cases, with all stand-ins that they start, into target/review. The programs under test come
# from the build of the deploy file.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review
for source in review/[0-9]/*.cpp; do
    [ -e "$source" ] || continue
    name=$(basename "$source" .cpp)
    g++ -std=c++20 -O1 -Wall -Wextra -pthread "$source" -o "target/review/$name"
done
