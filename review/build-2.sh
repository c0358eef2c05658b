#!/bin/sh
# Builds the programs of the cases 6 to 10 into target/review-2/. Each has the store's stand-in,
# runners and clients as its threads and starts goldcrest_routerd as processes. Run it after the
# build of deploy/system.toml; it needs the same packages.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review-2
for name in long_prompts failed_runs silent_stream longer_grace slow_reader; do
  echo "review/build-2.sh: $name"
  g++ -std=c++17 -O1 -I. -DSPDLOG_COMPILED_LIB -DSPDLOG_FMT_EXTERNAL \
    -DBOOST_ERROR_CODE_HEADER_ONLY "review/$name.cpp" standins/platform_store.cc \
    standins/raw_server.cc target/libgoldcrestdeck_platform.a target/libgoldcrestdeck_router.a \
    -lspdlog -lfmt -ljansson -lxxhash -lprometheus-cpp-core -lpthread -o "target/review-2/$name"
done
