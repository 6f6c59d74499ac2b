#!/bin/sh
# Installs the build tools and libraries on Debian 12. Needs root.
set -eu
export DEBIAN_FRONTEND=noninteractive
missing=0
for package in build-essential cmake ninja-build pkg-config clang-format \
    clang-tidy curl libev-dev libmicrohttpd-dev libcurl4-openssl-dev libzmq3-dev \
    libprotobuf-c-dev libcmocka-dev libgsl-dev libxxhash-dev libsodium-dev libjansson-dev; do
    dpkg-query -W -f='${Status}' "$package" 2>/dev/null |
        grep -q '^install ok installed' || missing=1
done
[ "$missing" = 0 ] && exit 0
apt-get update -qq
apt-get install -y -qq build-essential cmake ninja-build pkg-config \
    clang-format clang-tidy curl libev-dev libmicrohttpd-dev libcurl4-openssl-dev \
    libzmq3-dev libprotobuf-c-dev libcmocka-dev libgsl-dev libxxhash-dev \
    libsodium-dev libjansson-dev
