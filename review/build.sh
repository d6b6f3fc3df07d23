#!/bin/sh
# Builds the tests of the cases and their stand-ins into review/build/. Needs a C++ compiler only.
set -e
cd "$(dirname "$0")"
mkdir -p build
for case in 1 2 3; do
    if [ -f "$case/test.cpp" ]; then
        ${CXX:-g++} -std=c++17 -O1 -Wall -Wextra -pthread -Ilib -o "build/case$case" "$case/test.cpp"
    fi
done
