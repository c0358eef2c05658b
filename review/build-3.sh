#!/bin/bash
# Builds the stand-ins and requesters that the scripts of cases 11 to 15 start.
set -e
cd "$(dirname "$0")/.."
mkdir -p target/review-3
for case in sent_ahead_stop sent_ahead_gone handed_over_stream moved_store; do
    g++ -std=c++17 -O1 -Wall -Wextra -o "target/review-3/$case" "review/$case.cpp" -ljansson -lpthread
done
