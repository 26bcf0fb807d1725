"""Size limits of an upstream's answer, shared by entry and sidecar."""

# Larger answers are treated as endless. A process has 128 MB of memory for all
# the answers that it buffers.
MAX_ANSWER_BYTES = 4 * 1024 * 1024
# Limit on the bytes of a stream without an event that advances it; an event has
# a few hundred bytes.
MAX_IDLE_BYTES = 256 * 1024
# Limit on the events of one stream; each carries at least one token.
MAX_ANSWER_EVENTS = 65_536
