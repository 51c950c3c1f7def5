#!/bin/sh
# Builds the stand-ins of the review's scripts into target/review/.  Needs only
# the packages that deploy/system.toml lists.
set -e
cd "$(dirname "$0")/.."
mkdir -p target/review
cc -O2 -std=gnu11 -Wall -Wextra -Wno-missing-field-initializers -D_GNU_SOURCE \
  -Iinclude -Isrc -Istandin -Ireview/standin \
  $(pkg-config --cflags glib-2.0 json-c libmicrohttpd ck) \
  review/standin/bed.c review/standin/paths.c standin/platform_store.c src/state/json.c \
  src/transport/http_server.c src/transport/transport.c \
  src/util/os.c src/util/mailbox.c src/util/log.c src/util/conf.c \
  -o target/review/bed \
  $(pkg-config --libs glib-2.0 json-c libmicrohttpd ck) -lpthread
cc -O2 -std=gnu11 -Wall -Wextra -D_GNU_SOURCE review/standin/call.c \
  -o target/review/call
cc -O2 -std=gnu11 -Wall -Wextra -D_GNU_SOURCE review/standin/narrow.c \
  -o target/review/narrow
