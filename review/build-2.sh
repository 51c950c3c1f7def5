#!/bin/sh
# Builds the stand-ins that the scripts of the second review start.  Run in the
# repository after the build command of deploy/system.toml.
set -e
cmake --build target -j8 --target standin-platform
cc -O2 -Wall -Wextra -std=gnu11 -D_GNU_SOURCE -Iinclude -Isrc \
  $(pkg-config --cflags glib-2.0 json-c libmicrohttpd libcurl) \
  -o target/review-runner review/standin2/runner.c \
  target/librst_transport.a target/librst_util.a target/librosemarystile.a \
  $(pkg-config --libs glib-2.0 json-c libmicrohttpd libcurl libsodium \
    libxxhash ck) -largtable2 -lpthread
