#!/bin/sh
# Puts libraries and the workspace's packages into target/deps, where the
# platform's Python finds them. Needs none of the tests.
set -eu
deps=target/deps
if [ ! -f "$deps/.libraries" ] || [ requirements.txt -nt "$deps/.libraries" ]
then
  python3 -m pip install -q --target "$deps" --upgrade -r requirements.txt
  touch "$deps/.libraries"
fi
for package in core router runtime; do
  rm -rf "$deps/rhubarbbank_$package"
  cp -r "packages/rhubarbbank-$package/src/rhubarbbank_$package" "$deps/"
done
python3 -m compileall -q "$deps" >/dev/null || true
