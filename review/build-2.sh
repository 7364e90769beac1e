#!/bin/sh
# Builds the stand-ins of the cases 6 to 10 into target/review-2/. The programs of the project come from the build of the deploy file.
set -e
cd "$(dirname "$0")/.."
mkdir -p target/review-2
for source in review/standins/case_*.cpp; do
    name=$(basename "$source" .cpp)
    ${CXX:-g++} -std=c++20 -O2 -Wall -Wextra -pthread -o "target/review-2/$name" "$source"
done
