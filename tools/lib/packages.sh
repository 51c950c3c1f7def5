# Functions that install packages and build the programs.

# Packages that the build, the tests and the linters need.
packages="build-essential cmake ninja-build pkg-config libck-dev \
libmsgpack-dev libmicrohttpd-dev libcurl4-openssl-dev libargtable2-dev \
libglib2.0-dev libjson-c-dev libxxhash-dev libsodium-dev libgtest-dev \
librapidcheck-dev clang-format clang-tidy cppcheck jq curl"

# install_packages - installs those of $packages that are missing.
install_packages ()
{
  local missing=""
  local package

  for package in $packages
  do
    dpkg-query -W -f '${Status}' "$package" 2>/dev/null \
      | grep -q 'ok installed' || missing="$missing $package"
  done
  [ -z "$missing" ] && return 0
  echo "installing:$missing"
  apt-get update -qq >/dev/null
  # shellcheck disable=SC2086
  DEBIAN_FRONTEND=noninteractive apt-get install -y -qq \
    --no-install-recommends $missing >/dev/null
}

# build_programs DIRECTORY [CMAKE OPTION...] - builds all targets; on failure
# prints the end of the build's log.
build_programs ()
{
  local directory=$1

  shift
  cmake -S . -B "$directory" -G Ninja "$@" >"$directory.log" 2>&1 \
    && ninja -C "$directory" >>"$directory.log" 2>&1 \
    || { tail -40 "$directory.log"; return 1; }
}
