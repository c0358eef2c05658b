#!/bin/sh
# Builds the programs that the scripts of the review start, after the build of deploy/system.toml.
set -e
cd "$(dirname "$0")/.."
mkdir -p target/review
for program in odd_request_id session_after_rollout; do
    g++ -std=c++17 -O1 -I. -DSPDLOG_COMPILED_LIB -DSPDLOG_FMT_EXTERNAL \
        -DBOOST_ERROR_CODE_HEADER_ONLY -o "target/review/$program" "review/$program.cpp" \
        standins/raw_server.cc standins/platform_instance.cc standins/platform_store.cc \
        target/libgoldcrestdeck_platform.a target/libgoldcrestdeck_router.a \
        -lspdlog -lfmt -ljansson -lxxhash -lprometheus-cpp-core -lpthread
done
