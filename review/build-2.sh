#!/bin/sh
# Builds what the scripts of the second review (6 to 10) start besides the
# entries: the project's stand-in of the store, and the runners and clients of
# review/harness-2. They are Python, run with the libraries in target/deps.
set -eu
cd "$(dirname "$0")/.."
python3 -m compileall -q standins/src/rhubarbbank_standins review/harness-2
PYTHONPATH=target/deps:standins/src:review/harness-2 \
  python3 -c "import harness"
