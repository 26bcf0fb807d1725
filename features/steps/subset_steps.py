import collections
import random
from unittest import mock

import behave
import hypothesis
from hypothesis import strategies as st
from support import trials

from rhubarbbank_core import subset
from rhubarbbank_core import subset_cache

CENTRES = 3


def make_members(kind, count):
    return [
        subset.Member(f"{kind}-{i:03d}", f"centre-{i % CENTRES}")
        for i in range(count)
    ]


def assign(entries, upstreams, key="planner@7"):
    found = subset.Assignment(key=key, entries=entries, upstreams=upstreams)
    return {entry: found.of(entry) for entry in entries}


def assign_naively(entries, upstreams, size):
    """Each entry draws for itself."""
    names = sorted(u.name for u in upstreams)
    return {
        entry: frozenset(random.Random(entry.name).sample(names, size))
        for entry in entries
    }


def count_uses(assignment, upstreams):
    uses = collections.Counter(
        n for taken in assignment.values() for n in taken
    )
    return [uses[upstream.name] for upstream in upstreams]


def count_moves(before, after):
    return sum(
        len(after[entry] - before[entry]) for entry in before if entry in after
    )


@behave.given("{entries:d} subset entries and {upstreams:d} subset upstreams")
def given_members(context, entries, upstreams):
    context.entries = make_members("entry", entries)
    context.upstreams = make_members("up", upstreams)
    context.assignment = assign(context.entries, context.upstreams)


@behave.then("every entry's subset holds {size:d} upstreams")
def then_size(context, size):
    for taken in context.assignment.values():
        assert len(taken) == size, len(taken)


@behave.then("each upstream is in {low:d} to {high:d} subsets")
def then_balance(context, low, high):
    uses = count_uses(context.assignment, context.upstreams)
    print(f"in {min(uses)} to {max(uses)} subsets")
    assert low <= min(uses), min(uses)
    assert max(uses) <= high, max(uses)


@behave.then("naive random subsets range from {low:d} to {high:d}")
def then_naive(context, low, high):
    naive = assign_naively(context.entries, context.upstreams, 12)
    uses = count_uses(naive, context.upstreams)
    print(f"naively in {min(uses)} to {max(uses)} subsets")
    assert (min(uses), max(uses)) == (low, high)


@behave.then("the subsets span the own data centre and others")
def then_span(context):
    places = {u.name: u.data_centre for u in context.upstreams}
    for entry, taken in context.assignment.items():
        local = sum(places[name] == entry.data_centre for name in taken)
        assert local * 2 > len(taken), (entry, local)
        assert len({places[name] for name in taken}) > 1, entry


@behave.then("a lost upstream moves at most {most:d} other subset places")
def then_upstream_churn(context, most):
    moves = []
    for lost in context.upstreams[::60]:
        left = [u for u in context.upstreams if u != lost]
        after = assign(context.entries, left)
        needed = sum(lost.name in t for t in context.assignment.values())
        moves.append(count_moves(context.assignment, after) - needed)
    print(f"beyond the lost places {max(moves)} moved at most")
    assert max(moves) <= most, moves


@behave.then("a lost entry moves at most {most:d} other subset places")
def then_entry_churn(context, most):
    moves = []
    for lost in context.entries[::37]:
        left = [e for e in context.entries if e != lost]
        after = assign(left, context.upstreams)
        moves.append(count_moves(context.assignment, after))
    print(f"{max(moves)} moved at most")
    assert max(moves) <= most, moves


def match_naively(found):
    """The same matching, written plainly over all pairs at once."""
    chosen = [set() for _ in found.entries]

    def run(allowed, wanted, caps):
        wanted, caps = list(wanted), list(caps)
        pairs = [
            (int(found.weights[e, u]), e, u)
            for e in range(len(found.entries))
            for u in range(len(found.upstreams))
            if allowed(e, u)
        ]
        for _, e, u in sorted(pairs):
            if wanted[e] and caps[u] and u not in chosen[e]:
                chosen[e].add(u)
                wanted[e] -= 1
                caps[u] -= 1

    def is_local(e, u):
        place = found.entries[e].data_centre
        return found.upstreams[u].data_centre == place

    size = found.settings.size
    total = len(found.upstreams)
    share = round(size * found.settings.local_share)
    wanted = []
    for e in range(len(found.entries)):
        near = sum(is_local(e, u) for u in range(total))
        wanted.append(min(near, max(share, size - (total - near))))
    run(is_local, wanted, found.cap_local(wanted))
    wanted = [size - len(taken) for taken in chosen]
    caps = subset.spread_caps(
        found.tie_breaks,
        demand=sum(wanted),
        supply=total,
        slack=found.settings.slack,
    )
    run(lambda e, u: not is_local(e, u), wanted, caps)
    wanted = [size - len(taken) for taken in chosen]
    run(lambda e, u: True, wanted, [len(found.entries)] * total)
    return chosen


@behave.then("random subsets equal the naive matching")
def then_equal(context):
    members = st.lists(
        st.tuples(st.integers(0, 60), st.integers(0, 3)),
        unique_by=lambda pair: pair[0],
        min_size=1,
        max_size=24,
    )

    @trials.repeat(150)
    @hypothesis.given(
        members,
        members,
        st.integers(1, 8),
        st.sampled_from([0.0, 0.5, 0.75, 1]),
    )
    def run(entries, upstreams, size, share):
        found = subset.Assignment(
            key="planner@7",
            entries=[subset.Member(f"e{n}", f"c{c}") for n, c in entries],
            upstreams=[subset.Member(f"u{n}", f"c{c}") for n, c in upstreams],
            settings=subset.SubsetSettings(size=size, local_share=share),
        )
        if len(upstreams) <= size:
            everyone = set(range(len(upstreams)))
            assert all(taken == everyone for taken in found.chosen)
            return
        assert found.chosen == match_naively(found)
        assert all(len(taken) == size for taken in found.chosen)

    run()


@behave.then("the subsets do not depend on the members' order")
def then_order(context):
    entries, upstreams = list(context.entries), list(context.upstreams)
    random.Random(3).shuffle(entries)
    random.Random(4).shuffle(upstreams)
    assert assign(entries, upstreams) == context.assignment


@behave.then(
    "{count:d} versions on all of them take {computed:d} assignment and have"
    " one subset"
)
def then_shared(context, count, computed):
    context.cache = subset_cache.SubsetCache(
        own=context.entries[0], settings=subset.DEFAULT_SUBSET_SETTINGS
    )
    everyone = frozenset(context.upstreams)
    context.versions = {f"model@{n}": everyone for n in range(count)}
    refresh(context)
    assert context.cache.computed == computed
    expected = assign(context.entries, everyone, subset_cache.SHARED_KEY)[
        context.entries[0]
    ]
    assert set(context.cache.by_version.values()) == {expected}


@behave.then(
    "an upstream that leaves one of them takes {more:d} assignment more"
)
def then_one_left(context, more):
    others = dict(context.cache.by_version)
    before = context.cache.computed
    left = frozenset(context.upstreams[1:])
    context.versions["model@0"] = left
    refresh(context)
    refresh(context)
    assert context.cache.computed == before + more
    own = context.entries[0]
    expected = assign(context.entries, left, subset_cache.SHARED_KEY)[own]
    assert context.cache.get("model@0") == expected
    del others["model@0"]
    assert others.items() <= context.cache.by_version.items()


def refresh(context):
    context.cache.refresh(
        entries=frozenset(context.entries),
        upstreams=context.versions,
        dead=frozenset(),
    )


@behave.then("at most {most:d} pairs are ordered for each one that is taken")
def then_ordered(context, most):
    ordered = 0
    match_pairs = subset.match_pairs

    def count(pairs):
        nonlocal ordered
        for pair in pairs:
            ordered += 1
            yield pair

    def match(pairs, **matched):
        match_pairs(count(pairs), **matched)

    with mock.patch.object(subset, "match_pairs", match):
        found = assign(context.entries, context.upstreams)
    taken = sum(len(names) for names in found.values())
    print(f"{ordered} pairs ordered, {taken} taken")
    assert ordered <= most * taken, ordered
