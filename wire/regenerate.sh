#!/bin/sh
# Regenerates the committed codecs from switchmill.x; needs rpcgen.
set -eu
cd "$(dirname "$0")"
rm -f gen/switchmill.h gen/switchmill_xdr.c
rpcgen -h -o gen/switchmill.h switchmill.x
rpcgen -c -o gen/switchmill_xdr.c switchmill.x
sed -i "s|#include \".*switchmill.h\"|#include \"switchmill.h\"|" gen/switchmill_xdr.c
