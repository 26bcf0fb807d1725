"""Steps for builds beside programs that start."""

import filecmp
import itertools
import os
import pathlib
import random
import shutil
import signal
import subprocess
import sys
import tempfile
import threading
import time

import aiohttp
from behave import given
from behave import then
from behave import when
from support import signals

from rhubarbbank_experiments import platform_fleet

ROOT = platform_fleet.ROOT
PACKAGES = ("core", "router", "runtime")
BUILD = ("sh", "deploy/build.sh")
# Installed libraries, which the tree's own release doesn't hold.
LIBRARIES = pathlib.Path(aiohttp.__file__).parents[1]
NEEDING = "from rhubarbbank_core import errors\nerrors.ADDED"
READY_WAIT_S = 15.0
BUILD_WAIT_S = 60.0
KILL_WAIT_S = 0.8
OTHER_KIND = """
import platform, sys
platform.machine = lambda: "other"
sys.path.insert(0, "deploy")
import build_release
sys.exit(build_release.main())
"""


def get_source(tree, package):
    name = f"rhubarbbank_{package}"
    return tree / f"packages/rhubarbbank-{package}/src/{name}"


@given("{count:d} entries that run in a tree of their own")
def start_fleet(context, count):
    tree = pathlib.Path(
        context.stack.enter_context(tempfile.TemporaryDirectory())
    )
    ignore = shutil.ignore_patterns("__pycache__")
    for package in PACKAGES:
        source = get_source(tree, package)
        shutil.copytree(get_source(ROOT, package), source, ignore=ignore)
    for folder in ("deploy", "platform"):
        shutil.copytree(ROOT / folder, tree / folder, ignore=ignore)
    (tree / "requirements.txt").write_text("# none\n", encoding="utf-8")
    context.tree = tree
    context.changes = itertools.count()
    context.builds = []
    context.starts = []
    run_build(context)
    check_builds(context, 0, 1)
    fleet = platform_fleet.PlatformFleet(entries=count)
    fleet.root = tree
    fleet.interpreter = [sys.executable, "-S"]
    fleet.environment = {
        "PYTHONPATH": f"{tree}/target/deps{os.pathsep}{LIBRARIES}",
        "PYTHONDONTWRITEBYTECODE": "1",
    }
    context.platform = context.stack.enter_context(fleet)


def begin_build(context, command=BUILD):
    return subprocess.Popen(
        command,
        cwd=context.tree,
        env=os.environ | {"PIP_NO_INDEX": "1"},
        stdout=subprocess.DEVNULL,
        stderr=subprocess.PIPE,
        start_new_session=True,
    )


def run_build(context, command=BUILD):
    process = begin_build(context, command)
    context.build_text = process.communicate(timeout=BUILD_WAIT_S)[1].decode()
    context.builds.append(process.returncode)


def change_sources(context):
    """Adds a module, which replaces the one that was added before."""
    number = next(context.changes)
    folder = get_source(context.tree, "core")
    for before in folder.glob("added_*.py"):
        before.unlink()
    (folder / f"added_{number}.py").write_text(f"NUMBER = {number}\n")


def start_again(context, number):
    """Starts an entry; notes what went wrong until it was ready, if any."""
    fleet = context.platform
    process = fleet.entries[number].process
    process.kill()
    process.wait()
    fleet.relaunch_entry(number)
    context.starts.append(find_start_fault(context, fleet.entries[number]))


def find_start_fault(context, entry):
    ends_at = time.monotonic() + READY_WAIT_S
    while time.monotonic() < ends_at:
        if entry.process.poll() is not None:
            text = entry.log.read_text(encoding="utf-8")
            return f"{entry.process.returncode}: {text[-300:]}"
        if context.platform.is_ready(entry):
            return ""
        time.sleep(0.05)
    return "not ready in time"


@when(
    "they start again and again for {duration:g} s, beside builds of changed "
    "and unchanged sources"
)
def start_beside_builds(context, duration):
    ends_at = time.monotonic() + duration
    context.builds.clear()

    def start_on(number):
        while time.monotonic() < ends_at:
            start_again(context, number)

    threads = [
        threading.Thread(target=start_on, args=(x,))
        for x in range(len(context.platform.entries))
    ]
    for thread in threads:
        thread.start()
    for turn in itertools.count():
        if time.monotonic() >= ends_at:
            break
        if turn % 4 != 3:
            change_sources(context)
        run_build(context)
    for thread in threads:
        thread.join()


@when("entry 0 starts, and is paused while it loads its libraries")
def start_paused(context):
    fleet = context.platform
    process = fleet.entries[0].process
    process.kill()
    process.wait()
    fleet.relaunch_entry(0)
    # Some of the packages' modules come before this library, most after it.
    signals.wait_mapped(fleet.entries[0].process, "/_http_writer")
    fleet.entries[0].process.send_signal(signal.SIGSTOP)


@when("a module changes that others need, and a build runs")
def change_needed(context):
    errors = get_source(context.tree, "core") / "errors.py"
    router = get_source(context.tree, "router") / "router.py"
    for path, line in ((errors, "ADDED = True"), (router, NEEDING)):
        with path.open("a", encoding="utf-8") as file:
            file.write(f"{line}\n")
    run_build(context)
    assert context.builds[-1] == 0, context.build_text


@when("a module is renamed, and a build runs")
def rename_module(context):
    change_sources(context)
    # Imports of the start; the sources that are built name the new module.
    folder = get_source(context.tree, "core")
    (folder / "rendezvous.py").rename(folder / "rendezvous_renamed.py")
    for path in context.tree.glob("p*/**/*.py"):
        text = path.read_text(encoding="utf-8")
        renamed = text.replace(
            "import rendezvous\n",
            "import rendezvous_renamed as rendezvous\n",
        )
        if renamed != text:
            path.write_text(renamed, encoding="utf-8")
    run_build(context)
    assert context.builds[-1] == 0, context.build_text


@when("entry 0 goes on")
def resume(context):
    context.platform.entries[0].process.send_signal(signal.SIGCONT)


@then("entry 0 gets ready")
def check_ready(context):
    fault = find_start_fault(context, context.platform.entries[0])
    assert not fault, fault


@then("entry 0 starts again and gets ready")
def check_restart(context):
    start_again(context, 0)
    assert not context.starts[-1], context.starts[-1]


@when(
    "{count:d} builds of changed sources are killed with seed {seed:d}, and "
    "entry 0 starts after each"
)
def kill_builds(context, count, seed):
    rng = random.Random(seed)
    for _ in range(count):
        change_sources(context)
        process = begin_build(context)
        # Mostly in the first moments, when files are replaced.
        time.sleep(KILL_WAIT_S * rng.random() ** 2)
        # The build may have ended, and its group with it.
        if process.poll() is None:
            os.killpg(process.pid, signal.SIGKILL)
        process.communicate()
        start_again(context, 0)


@when("{count:d} builds of changed sources run at once, {turns:d} times")
def run_builds_at_once(context, count, turns):
    context.builds.clear()
    for _ in range(turns):
        change_sources(context)
        processes = [begin_build(context) for _ in range(count)]
        texts = [x.communicate(timeout=BUILD_WAIT_S)[1] for x in processes]
        context.build_text = b"".join(texts).decode()
        context.builds += [x.returncode for x in processes]


@when("a build requires a library that nobody offers")
def require_missing(context):
    context.before = list_state(context)
    path = context.tree / "requirements.txt"
    path.write_text("rhubarbbank-no-such-library==1.0\n", encoding="utf-8")
    run_build(context)


@when("the requirement is taken back, and a build runs")
def take_back(context):
    path = context.tree / "requirements.txt"
    path.write_text("# none\n", encoding="utf-8")
    change_sources(context)
    run_build(context)
    assert context.builds[-1] == 0, context.build_text


def list_state(context):
    """Returns node, size and time of all files of the release in force."""
    folder = (context.tree / "target/deps").resolve()
    found = {path: path.lstat() for path in [folder, *folder.rglob("*")]}
    return {x: (y.st_ino, y.st_size, y.st_mtime_ns) for x, y in found.items()}


@when("a build of unchanged sources runs")
def build_unchanged(context):
    target = context.tree / "target"
    context.before = {x: x.lstat()[8:10] for x in target.rglob("*")}
    began_at = time.monotonic()
    run_build(context)
    context.build_s = time.monotonic() - began_at
    context.after = {x: x.lstat()[8:10] for x in target.rglob("*")}


@when("a build runs on another kind of processor")
def build_elsewhere(context):
    context.before = set((context.tree / "target/libraries").iterdir())
    run_build(context, (sys.executable, "-c", OTHER_KIND))
    assert context.builds[-1] == 0, context.build_text


@then("its libraries were installed anew")
def check_installed(context):
    now = set((context.tree / "target/libraries").iterdir())
    assert now - context.before, now


@then("it has written no file and moved no time stamp within {limit:g} s")
def check_unchanged(context, limit):
    assert context.after == context.before
    assert context.build_s <= limit, context.build_s


@then("each start got ready, {count:d} or more in all")
def check_starts(context, count):
    faults = [x for x in context.starts if x]
    assert not faults, (len(faults), len(context.starts), faults[:3])
    assert len(context.starts) >= count, len(context.starts)


@then("each build exited with code {code:d}, {count:d} or more in all")
def check_builds(context, code, count):
    found = context.builds
    assert set(found) == {code}, (found, context.build_text)
    assert len(found) >= count, found


@then(
    'the build exits with code {code:d}, names the step "{step}", and changes '
    "nothing"
)
def check_failure(context, code, step):
    assert context.builds[-1] == code, context.builds
    assert f"build failed: {step}" in context.build_text, context.build_text
    assert list_state(context) == context.before


@then("the release in force holds just the sources")
def check_release(context):
    release = context.tree / "target/deps"
    for package in PACKAGES:
        source = get_source(context.tree, package)
        found = filecmp.dircmp(source, release / source.name)
        assert not found.left_only, (package, found.left_only)
        extra = set(found.right_only) - {"__pycache__"}
        assert not extra, (package, extra)
        assert not found.diff_files, (package, found.diff_files)


@then("nothing of the builds that were killed is left")
def check_leftovers(context):
    target = context.tree / "target"
    folders = (target, target / "releases", target / "libraries")
    found = [x for y in folders for x in y.glob(".*")]
    assert not found, found
