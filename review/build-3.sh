#!/bin/bash
# Builds the stand-ins of the cases review/11 to review/15 into target/review3.
# Runs in the repository root after the build command of deploy/system.toml.
set -e
out=target/review3
mkdir -p $out
cmake --build target -j8 --target standin-platform
cp target/standin-platform $out/
flags=$(pkg-config --cflags --libs glib-2.0 json-c libcurl libmicrohttpd libsodium libxxhash ck)
cc -std=gnu11 -O2 -D_GNU_SOURCE -Wall -Wextra -Iinclude -Isrc -Istandin \
  review/standin3/runner.c -o $out/review-runner \
  target/librst_transport.a target/librst_util.a target/librosemarystile.a \
  $flags -largtable2 -lpthread
