"""Default values and fixed limits, with the unit in the name."""

TICK_S = 0.1
DEADLINE_S = 60.0
MAX_DEADLINE_S = 600.0
MAX_BODY_BYTES = 1_000_000
MAX_NAME_CHARS = 128

SUBMIT_RESEND_S = 0.3
STREAM_PROBE_S = 1.0
ATTEMPT_SILENCE_TIMEOUT_S = 3.0
MAX_ATTEMPTS = 3
# A request that fails while it runs is retried once at most, so that a request
# which crashes its upstream takes down at most two upstreams.
MAX_RUN_FAILURES = 2

BILL_HOLD_AFTER_S = 0.1
BILL_HOLD_RESEND_S = 0.3
SLICE_WAIT_S = 2.0
# Wait while no owner answers; a failed owner is replaced within about 4 s.
OWNER_WAIT_S = 6.0
SCARCE_SLICE_WAIT_S = 0.3
STEP_UP_WAIT_S = 0.5
MIN_RETRY_DELAY_S = 0.001
CROSS_DATA_CENTRE_LATENCY_MS = 1.0
PROMPT_BLOCK_BYTES = 64
SERVICE_SMOOTHING = 0.05
INITIAL_SERVICE_S = 1.0
EXPECTED_REQUEST_TOKENS = 50
MAX_CLAIM_ROUNDS = 16
MAX_OUTCOME_BYTES = 12_000
MAX_PENDING_RATINGS = 10_000
RATING_WAIT_S = 1.0
# Share of answers that are rated for versions not in roll-out. The ratings are
# the baseline for new versions, and reveal later regressions.
RATED_SHARE = 0.1
MAX_UNSETTLED_RECORDS = 20_000
BILL_HAND_IN_S = 3.0
FINISHED_ATTEMPT_RETENTION_S = 30.0
MAX_RETAINED_ATTEMPTS = 4_096
MAX_HELD_RECORDS = 20_000
MAX_OPEN_REQUESTS = 4_096
MAX_CACHED_PINS = 50_000
MAX_EXPLANATIONS = 2_000

STOP_GRACE_S = 30.0
HOST_LIST_PERIOD_S = 1.0
LOAD_PERIOD_S = 0.5
# Limit on simultaneous loads from the weight store, across all engines.
MAX_CONCURRENT_LOADS = 4
PLACES = 4
HEARTBEAT_PERIOD_S = 1.0
RETRY_AFTER_S = 1.0
