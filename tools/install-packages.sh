#!/usr/bin/env bash
# Installs the Debian packages that the build, the tests and the checks need.
set -euo pipefail
apt-get update -q
apt-get install -y -q --no-install-recommends \
  g++ cmake ninja-build ccache clang-format clang-tidy curl python3 \
  libcaf-dev libmsgpack-cxx-dev prometheus-cpp-dev libboost-dev libboost-system-dev \
  liblog4cplus-dev catch2 librapidcheck-dev nlohmann-json3-dev libyaml-cpp-dev libssl-dev libbenchmark-dev
