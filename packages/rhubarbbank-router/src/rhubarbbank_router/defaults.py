"""Times, limits and weights of the router, each with its unit.

A value marked "deployment bound" must stay within a limit that the deployment
sets. docs/MEASUREMENTS.md describes the experiments on these values. "Plain"
answers and services are those without streams.
"""

# Interval between timer checks; a route's time-out is answered at most one
# interval late.
TICK_S = 0.025

# Connecting inside a region takes a few milliseconds; a host that is down
# never answers.
CONNECT_TIMEOUT_S = 0.4
# No further attempt is started with less time left than this.
MIN_ATTEMPT_S = 0.05
# An attempt at a request that isn't a stream times out after this many mean
# answer times, but never before PLAIN_TIMEOUT_FLOOR_S.
PLAIN_TIMEOUT_MEANS = 3.0
PLAIN_TIMEOUT_FLOOR_S = 0.12
# The time-out for a stream's first event is this share of the route's target
# latency, or this many times the mean wait if that is longer.
FIRST_EVENT_TIMEOUT_SHARE = 0.6
FIRST_EVENT_TIMEOUT_MEANS = 4.0
# A stream is retried elsewhere after a silence of this many times the route's
# target gap between events: shorter silences are normal.
STALL_TIMEOUT_GAPS = 1.1
# A slow but steady stream hasn't stalled before a silence of this many of its
# own mean intervals between events.
STALL_EVENT_INTERVALS = 3.0
# An upstream that any entry has received bytes from within this time is
# alive; attempts there get this many times the usual time-out.
UPSTREAM_ALIVE_S = 1.0
ALIVE_TIMEOUT_FACTOR = 3.0
# For routes that configure no target latency, target gap or time-out.
DEFAULT_TARGET_LATENCY_S = 2.0
DEFAULT_TARGET_GAP_S = 1.5
DEFAULT_TIMEOUT_S = 30.0

# Weight of the newest sample in the exponential moving averages of answer
# times, and the values that the averages start from.
SERVICE_SMOOTHING = 0.1
INITIAL_ANSWER_S = 0.2
INITIAL_FIRST_EVENT_S = 0.3

# An upstream is set aside (ejected for a time) after this many consecutive
# failures. The time doubles with each ejection, up to the maximum.
FAILURES_TO_SET_ASIDE = 3
SET_ASIDE_S = 1.0
MAX_SET_ASIDE_S = 4.0
# How long an upstream that refused a request for lack of capacity is chosen
# only if there is no other.
FULL_BACKOFF_S = 0.3
# How long an upstream isn't used after another process answered at its address;
# the list drops one that has ended sooner.
MISDIRECTED_S = 5.0
# Longest time for which an upstream can ask to be sent no requests.
MAX_CLOSED_S = 60.0
# Number of upstreams whose notices are kept.
MAX_NOTICES = 2_000
# How often an upstream renews its registration; the store drops it after three
# intervals of silence.
UPSTREAM_HEARTBEAT_S = 1.2
# The last heartbeat before an outage may have come an interval before it, and
# the lease may be half an interval short.
LAPSE_MIN_OUTAGE_S = 1.5 * UPSTREAM_HEARTBEAT_S
# List entries of upstreams that expired while the store was unreachable are
# renewed within two seconds of its return (deployment bound).
LAPSE_GRACE_S = 2.0
# Changes that a restored store has lost are written again within this time.
RESTORE_SETTLE_S = 2.0
# Age of the oldest copy that the store is restored from.
MAX_COPY_AGE_S = 30.0
# If its upstream has ended, a restored registration is dropped after three
# missed heartbeats of 1.2 s; the list shows it about a second later.
RESTORED_LEASE_S = 5.0
# The first answers after the store's return report such expired entries; they
# come within this time.
LAPSE_REPORT_S = 0.4

# Age up to which a prompt part is assumed to be in an upstream's prefix
# cache; the operators charge for parts that are read again within about ten
# seconds.
PREFIX_CACHE_AGE_S = 10.0
MAX_PREFIX_PARTS = 20_000
TOKENS_PER_BLOCK = 64
# Prefill speed assumed for a model until one has been observed.
INITIAL_PREFILL_TOKENS_PER_S = 20_000.0
# The time to the first event of a shorter prompt depends little on the
# prefill speed.
MIN_TOKENS_TO_LEARN = 500
# The estimate tracks this quantile of the observed prefill speeds; each sample
# moves its logarithm by at most this step.
PREFILL_SPEED_QUANTILE = 0.8
PREFILL_SPEED_LOG_STEP = 0.2
# Time from sending to the first event that is neither queueing nor prefill.
ENGINE_LATENCY_S = 0.02
# While an attempt generates tokens it delays others by this share of its
# prefill work.
DECODE_WORK_SHARE = 0.15
# Range of the factors by which work takes longer on an upstream's host that are
# believed, and the time constant with which they decay.
MIN_SLOWDOWN = 0.2
MAX_SLOWDOWN = 10.0
SLOWDOWN_DECAY_S = 0.3
# Time constant of the exponential decay of a load report's weight.
REPORT_DECAY_S = 1.0
# Random candidates that placement compares at most.
PLACEMENT_CHOICES = 8
# Added to the expected time at upstreams in another data centre: traffic
# between data centres costs money, and requests carry their prompt.
OTHER_DATA_CENTRE_PENALTY_MS = 300.0
# The same for plain requests, as a share of their route's target latency, where
# upstreams report the speed of their hosts.
DISTANCE_OBJECTIVE_SHARE = 0.25
# How much longer the upstream that all entries prefer for a prompt may take.
AFFINITY_CREDIT_S = 0.1
# The credit is at least this share of the prefill time of the prompt's shared
# parts: they may be cached there, or will be requested again.
AFFINITY_PREFILL_SHARE = 0.7

# Share of the expected wait that a request is certain to wait.
MIN_WAIT_SHARE = 0.5

# A smaller model's answer with a lower confidence (0 to 100) is replaced by
# that of a larger model.
STEP_UP_CONFIDENCE = 50
# With less time left, the smaller model's answer is kept.
STEP_UP_MIN_S = 1.0

# Share of the allowed retry ratio that this entry uses; the rest covers
# windows that aren't aligned between the entries and whoever checks the limit.
RETRY_RATIO_SHARE = 0.85
# Share of the extra retries that the entries use. If all entries are replaced
# once in a window, their successors add half shares, which makes 0.99 in all
# (deployment bound).
RETRY_EXTRA_SHARE = 0.66
# Share of the retry budget that escalation to a larger model may use.
STEP_UP_BUDGET_SHARE = 0.8
# Number of entries assumed until a heartbeat of another one has come.
ASSUMED_ENTRIES = 10

# A proof that the configuration is fresh is used up to the bound on revocation
# less this margin.
PROOF_MARGIN_S = 0.4

# One entry of a data centre reads the store for the others if the bounds on
# configuration and on leaving upstreams allow at least this delay.
RELAY_MIN_MARGIN_S = 1.7
# Margins before each bound, for an entry's own read of the store and the
# transfer of the request.
CONFIGURATION_MARGIN_S = 1.0
UPSTREAMS_MARGIN_S = 1.2
EVACUATIONS_MARGIN_S = 1.0
# How long the end of an evacuation is remembered.
ENDED_EVACUATION_S = 60.0
# How often an entry requests an update from a reader, and for how long a reader
# sends changes to an entry after its last request. A reader that sent no fresh
# data for as long counts as lost.
UPDATE_REQUEST_PERIOD_S = 0.4
UPDATE_REQUEST_EXPIRY_S = 1.2
# How long a reader that doesn't reply, or whose data is outdated, comes last
# when an entry chooses one.
READER_DEFERRAL_S = 2.0
# An entry stops reading the store after a reader has kept it informed for this
# long.
RELAY_PROVEN_S = 1.0
# Length of a reader's log of changes to the list of upstreams; an entry that
# is further behind gets the whole list.
MAX_LOGGED_CHANGES = 200

# An entry may send at once what its share of a limit allows in this time, or
# one request.
LIMIT_BURST_S = 0.5
# Least rate of a limit; an upstream that gets nothing couldn't end its limit.
MIN_LIMIT_PER_S = 1.0 / 30.0
# Longest Retry-After, without its random part, of requests that limited
# upstreams don't accept.
MAX_LIMIT_WAIT_S = 9.0
# How long a limit is kept for an upstream that is missing from the list.
LIMIT_EXPIRY_S = 60.0
# How long heartbeats report that a limit has ended, and how many limits they
# report at most.
ENDED_LIMIT_S = 5.0
MAX_REPORTED_LIMITS = 64
# Longer than a heartbeat takes to arrive.
LIMIT_RELAY_AGE_S = 0.1
# Time constant of the moving average of an entry's demand for a service, the
# factor by which it changes before the others are told, and its least value,
# so that an entry without callers can get permits.
COLD_DEMAND_S = 5.0
COLD_DEMAND_FACTOR = 2.0
MIN_COLD_DEMAND_PER_S = 1.0 / 16.0
# How long a gain of permits for cold upstreams is delayed: an entry that is
# heard later counts as silent (see PEER_TIMEOUT_S).
COLD_HOLD_S = 3.0
# How long an entry that may be cut off keeps its permits: the others keep its
# part for it until they deregister it (see PEER_EXPIRY_S below), and give it to
# others COLD_HOLD_S later.
COLD_KEEP_S = 24.0
# Number of views of the entries' demands that are kept, each in force for a
# heartbeat interval or longer.
MAX_COLD_VIEWS = 64
# An upstream that is still registered after this time has renewed its
# registration since.
REGISTRATION_RENEWAL_S = 6.0
# Longest time for which an upstream counts as cold after the last news.
MAX_COLD_S = 60.0
# Number of cold upstreams that a heartbeat reports at most.
MAX_REPORTED_COLD = 128

# Range of the random Retry-After of refused requests, which spreads their
# retries.
RETRY_AFTER_LOW_S = 0.2
RETRY_AFTER_HIGH_S = 0.8

# Interval of heartbeats between entries of one data centre.
HEARTBEAT_PERIOD_S = 0.5
# Interval to other data centres, where traffic costs money. It applies up to
# this many entries there: frames of 300 bytes to so many a second are half of
# a node's control traffic.
REMOTE_HEARTBEAT_PERIOD_S = 1.0
MAX_REMOTE_ENTRIES_FULL_HEARTBEAT = 8
# Number of entries of a data centre that forward heartbeats to other data
# centres, and their interval; it is shorter during a roll-out, which needs the
# evidence of all entries.
FORWARDERS_PER_DATA_CENTRE = 2
BUNDLE_PERIOD_S = 1.5
TRIAL_BUNDLE_PERIOD_S = 0.5
# An entry whose own heartbeat is overdue by more than this was suspended.
SUSPENDED_S = 0.7
# Less work at an upstream isn't reported to other data centres once they have
# more than MAX_REMOTE_ENTRIES_FULL_HEARTBEAT entries.
REMOTE_MIN_REPORTED_WORK_MS = 200
# An attempt with at least this much work is reported within the data centre
# without waiting for the heartbeat; further ones are batched for LOAD_BATCH_S.
IMMEDIATE_REPORT_WORK_S = 0.08
LOAD_BATCH_S = 0.03
# Delay of an urgent heartbeat after its cause, so that it carries whatever
# else happens until then.
URGENT_HEARTBEAT_DELAY_S = 0.05
# An entry without a heartbeat for this long counts as down.
PEER_TIMEOUT_S = 3.0
# An entry's report of its work is valid for two of the longest heartbeat
# intervals between data centres.
PEER_WORK_EXPIRY_S = 3.1
PEER_EXPIRY_S = 30.0

# Share of sessions that get the new version during the first half of a
# roll-out.
TRIAL_SHARE = 0.1
# The following shares, while there is no evidence against the version, and the
# share of the roll-out's time that each of these steps takes.
TRIAL_STEPS = (0.2, 0.5, 1.0)
TRIAL_STEP_SHARE = 0.06
# The same for a service without streams. It gets few requests, so each step
# must last until it has brought evidence. The last step begins just before
# TRIAL_GIVE_UP_SHARE.
PLAIN_TRIAL_SHARE = 0.3
PLAIN_TRIAL_STEPS = (0.4, 1.0)
PLAIN_TRIAL_STEP_SHARE = 0.24
# Share of a roll-out's time in which sessions stay on their version
# (deployment bound).
TRIAL_HALF = 0.5
# This long after the order, every entry has reported the sessions that it saw
# on the previous version: the watch's delay, a heartbeat, and a lost one.
SESSIONS_REPORTED_S = 2.0
# How long sessions stay on a target that is held while the outcome isn't
# recorded. Five seconds after its bad answers show, a bad target must get no
# requests (deployment bound).
HELD_SESSIONS_S = 2.0
# Number of entries of a data centre that tell one that starts there at once
# how far a roll-out is; the messages of all would fill its link.
ROLLOUT_REPORTERS = 3
# A session may last this much longer at another entry: the time that a
# stream's last events take to arrive.
SESSION_MARGIN_S = 1.0
# Answers of the new version that are required before its share grows for the
# first time.
TRIAL_MIN_ANSWERS = 8
# Answers required since the last growth of its share; a single one may be
# chance.
TRIAL_STEP_ANSWERS = 2
# A version that is still in doubt is rolled back after this share of the
# roll-out's time, or after this many bad answers.
TRIAL_GIVE_UP_SHARE = 0.75
TRIAL_MAX_BAD_ANSWERS = 20
# Tolerated increases of the rates of failed, slow and dragging answers.
TRIAL_ERROR_TOLERANCE = 0.03
TRIAL_SLOW_TOLERANCE = 0.05
TRIAL_DRAG_TOLERANCE = 0.1
# Answers without a stream hardly ever drag on a good version.
PLAIN_TRIAL_DRAG_TOLERANCE = 0.03
# Likelihood ratio above which the new version's share doesn't grow. It is
# higher at small shares, where little is at stake, and for services without
# streams, which bring little evidence.
TRIAL_SMALL_SHARE = 0.15
TRIAL_SMALL_SHARE_DOUBT_RATIO = 2.0
TRIAL_DOUBT_RATIO = 1.0
PLAIN_TRIAL_DOUBT_RATIO = 2.0
# Probability of a false alarm in a whole roll-out.
TRIAL_FALSE_ALARM = 0.01
# An answer is slow if its first event took this many times the usual wait.
SLOW_FACTOR = 3.0
# Shorter waits never count as slow, however short the usual one is, unless
# they exceed the route's target latency.
SLOW_FLOOR_S = 0.25
# A stream is slow if the interval between its events is this many times the
# usual one.
SLOW_PACE_FACTOR = 2.5
# Engines slow down with each concurrent request, so intervals are compared at
# the same load level. Level 1 begins at this many requests; each further level
# begins at twice as many.
LOAD_LEVEL_REQUESTS = 4
# A stream drags if the interval between its events is this many times the
# usual one: a sixth of the streams of good versions do, and most of those of
# slow versions.
DRAG_PACE_FACTOR = 1.5
# An answer without a stream drags if it takes this many times its route's
# usual time: two in a hundred of those of good versions do, with work
# distributed as the users' is.
DRAG_PLAIN_FACTOR = 2.5
# Time-outs at one upstream that follow each other within this time count as
# one.
SILENCE_EPISODE_S = 2.0
# The interval between events isn't computed for streams with fewer events.
MIN_EVENTS_FOR_PACE = 5

# A request is refused after this many upstreams have crashed while they ran it
# (deployment bound).
CRASHES_TO_REFUSE = 3
# Each further crash makes a trait this many times as likely to be the cause as
# one without it. A crash that no request caused has the likelihood of a trait
# with two crashes.
CRASH_LIKELIHOOD_RATIO = 8.0
CHANCE_CRASH_WEIGHT = 64.0
# A request is refused above this probability that it crashes its upstream; a
# less probable one is tried while no other with the same traits is.
REFUSE_CRASH_PROBABILITY = 0.85
TRY_ALONE_CRASH_PROBABILITY = 0.25
# A stream that has lasted this long after its first event hasn't crashed its
# upstream: that happens as the upstream begins to write.
SOUND_STREAM_S = 1.0
# The connections of a crashed upstream end within this time of each other.
CRASH_DETECTION_S = 0.1
# A suspect is probed by one entry this long after its last crash, sooner if it
# had good answers before, and then at twice the interval each time.
SUSPECT_PROBE_PERIOD_S = 60.0
SOUND_SUSPECT_PROBE_PERIOD_S = 30.0
# From this many crashes on, every entry shares what it knows of a trait, not
# only those that saw a crash.
CRASHES_TO_SHARE = 2
# If the list drops an upstream within this time after an attempt there timed
# out, the request counts as the cause. The list drops an upstream after three
# missed heartbeats of 1.2 s, and reports it about a second later.
UNANSWERED_CRASH_WINDOW_S = 6.0
# An upstream that the list drops has crashed if no entry has heard from it for
# this long; the list itself waits a little longer.
SILENT_CRASH_S = 3.0
# Shortest time in which an upstream can crash, restart and crash again; the
# connection errors of one crash come within milliseconds.
MIN_RESTART_S = 1.0
# A suspect request is forgotten when it hasn't come for this long.
SUSPECT_EXPIRY_S = 60.0
# As many suspects as an entry may have open requests. When there are more,
# only those with the most crashes are kept; an eighth are dropped at a time, so
# that the sort is rare.
MAX_SUSPECTS = 4_096
SUSPECTS_KEPT = 3_600
# A crash is reported for as long as a heartbeat of a live entry may be missing;
# one heartbeat names at most this many requests.
SUSPECT_REPORT_S = PEER_TIMEOUT_S
MAX_REPORTED_SUSPECTS = 128
# Of each suspect a heartbeat has the newest crashes, which are more than refuse
# it; suspects with the fewest are left out if there are too many in all.
MAX_REPORTED_CRASHES_EACH = 8
MAX_REPORTED_CRASHES = 256
# Bytes of an upstream that runs arrive within this time, unless this host's
# link is overloaded.
ANSWER_DELAY_S = 0.5
# A heartbeat names at most this many mistaken observations of crashes.
MAX_REPORTED_REFUTATIONS = 128

# A graceful stop serves open connections for at least this long, and the
# process ends this long before it would be killed.
STOP_MIN_S = 2.5
STOP_MARGIN_S = 1.2
# The load balancer sends new connections for about two seconds after the stop
# begins. Later streams might outlast the grace time, so they are sent
# elsewhere.
STOP_STREAMS_S = 2.5
# Answers without a stream take well below a second.
STOP_PLAIN_MARGIN_S = 1.5
# Other entries can serve the request at once.
STOP_RETRY_AFTER_S = 0.05

# Requests that come while an entry starts wait this long for the first
# configuration and list of upstreams, which take milliseconds to read.
START_WAIT_S = 0.8
MAX_OPEN_REQUESTS = 4_096
# Events that are buffered at most for a caller that reads slowly.
MAX_CALLER_BACKLOG = 1_024
