#!/bin/bash
# Installs the packages of packages.txt that are missing. Needs root only if any is.
set -euo pipefail
cd "$(dirname "$0")"
missing=()
while read -r package; do
  dpkg-query -W -f='${Status}' "$package" 2>/dev/null | grep -q 'ok installed' || missing+=("$package")
done < packages.txt
[ ${#missing[@]} -eq 0 ] && exit 0
export DEBIAN_FRONTEND=noninteractive
apt-get update -qq
apt-get install -y -qq --no-install-recommends "${missing[@]}"
