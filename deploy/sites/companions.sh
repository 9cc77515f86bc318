#!/usr/bin/env bash
# Lays the bench's companion files beside the deployments in this folder, from the folder named as the first argument.
# They are ignored by git. Nothing in CI needs them.
set -euo pipefail
cd "$(dirname "$0")"
from=${1:-../../../given/kit/sites}
for file in real.json wire.json unlock.txt; do
  if [ ! -r "$from/$file" ]; then
    echo "companions.sh: $from/$file cannot be read: name the folder that has it" >&2
    exit 1
  fi
  install -m 644 "$from/$file" "$file"
done
