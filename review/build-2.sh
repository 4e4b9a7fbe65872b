#!/bin/bash
# Builds what the scripts of the second review's cases start besides the project's programs, into bin/. It comes after
# the build of the deploy file, needs no network, and works on any kind of machine.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p bin
for folder in review/*/; do
	name=$(basename "$folder")
	case $name in
	6 | 7 | 8 | 9 | 10) CGO_ENABLED=0 go build -o "bin/review2-$name" "./review/$name" ;;
	esac
done
