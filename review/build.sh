#!/bin/sh
# Builds the stand-ins of the review's scripts into target/review/.  Needs only
# the packages that deploy/system.toml lists, and the libraries that its build
# command leaves in target/.
set -e
cd "$(dirname "$0")/.."
mkdir -p target/review
cc -O2 -std=gnu11 -Wall -Wextra -Wno-missing-field-initializers -D_GNU_SOURCE \
  -Iinclude -Isrc -Istandin -Ireview/standin \
  $(pkg-config --cflags glib-2.0 json-c libmicrohttpd ck) \
  review/standin/bed.c review/standin/paths.c standin/platform_store.c \
  -o target/review/bed \
  target/librst_transport.a target/librst_util.a target/librosemarystile.a \
  $(pkg-config --libs glib-2.0 json-c libmicrohttpd libcurl libsodium \
    libxxhash ck) -largtable2 -lpthread
cc -O2 -std=gnu11 -Wall -Wextra -D_GNU_SOURCE review/standin/call.c \
  -o target/review/call
cc -O2 -std=gnu11 -Wall -Wextra -D_GNU_SOURCE review/standin/narrow.c \
  -o target/review/narrow
