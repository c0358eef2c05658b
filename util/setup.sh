#!/usr/bin/env bash
# Installs the build dependencies on Debian; does nothing if all of them are installed.
set -euo pipefail
top=$(cd "$(dirname "$0")/.." && pwd)
packages="g++ cmake make clang-format clang-tidy prometheus-cpp-dev libulfius2.7 libmicrohttpd-dev
  liborcania-dev libyder-dev libboost-dev libboost-program-options-dev libspdlog-dev libfmt-dev
  libflatbuffers-dev libjansson-dev libgnutls28-dev libgtest-dev librapidcheck-dev libxxhash-dev
  python3 curl"
missing=$(for p in $packages; do
  dpkg -s "$p" 2>/dev/null | grep -q '^Status: install ok' || echo "$p"; done)
if [ -n "$missing" ]; then
  apt-get update -qq
  # shellcheck disable=SC2086
  DEBIAN_FRONTEND=noninteractive apt-get install -y -qq $missing >/dev/null
fi
# prometheus-cpp-dev depends on the OpenSSL variant of libcurl's -dev package, libulfius-dev on the
# GnuTLS variant, and the two conflict. Only the headers of libulfius-dev are extracted, so that the
# router, which does not need ulfius, builds from installed packages alone.
headers=$top/build/third_party
if [ ! -f "$headers/usr/include/ulfius.h" ]; then
  mkdir -p "$headers"
  (cd "$headers" && apt-get download -qq libulfius-dev 2>/dev/null && dpkg-deb -x libulfius-dev_*.deb .)
fi
