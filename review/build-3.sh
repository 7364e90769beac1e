#!/bin/sh
# Builds the stand-ins of the cases 11 to 15 into target/review-3/. The programs of the project come from the build of the deploy file.
set -e
cd "$(dirname "$0")/.."
mkdir -p target/review-3
for source in review/standins-3/case_*.cpp; do
    name=$(basename "$source" .cpp)
    ${CXX:-g++} -std=c++20 -O2 -Wall -Wextra -pthread -o "target/review-3/$name" "$source"
done
