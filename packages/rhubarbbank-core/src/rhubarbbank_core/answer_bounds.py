"""Bounds of what an upstream's answer may take, entry and sidecar alike."""

# Longer answers are taken to have no end. A process has 128 MB for all that
# it collects.
MAX_ANSWER_BYTES = 4 * 1024 * 1024
# The same for bytes of a stream between two events that go on; events take
# some hundred bytes.
MAX_IDLE_BYTES = 256 * 1024
# Events of one stream, each with a token or more.
MAX_ANSWER_EVENTS = 65_536
