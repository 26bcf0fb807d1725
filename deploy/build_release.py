"""Builds a release under target/ and puts it in force by a rename.

A release is a folder with libraries, packages and programs, named by the digest
of what it was built from. `target/deps` is a link to the one in force; a
process resolves it once, when it starts.
docs/design/releases.md has the reasons.
"""

from collections.abc import Iterator
import compileall
import contextlib
import ctypes
import errno
import fcntl
import hashlib
import os
import pathlib
import platform
import shutil
import signal
import subprocess
import sys
import time
import uuid

ROOT = pathlib.Path(__file__).resolve().parents[1]
TARGET = ROOT / "target"
CURRENT = TARGET / "deps"
RELEASES = TARGET / "releases"
LIBRARIES = TARGET / "libraries"
LOCK = TARGET / "build.lock"
REQUIREMENTS = ROOT / "requirements.txt"
PACKAGES = tuple(
    ROOT / f"packages/rhubarbbank-{name}/src/rhubarbbank_{name}"
    for name in ("core", "router", "runtime")
)
PROGRAMS = ROOT / "platform"
PROGRAMS_FOLDER = "programs"
CACHE = "__pycache__"
# Begins the names of folders that aren't complete, or are being removed.
TEMPORARY = ".temporary-"
DIGEST_DIGITS = 24
# Replaced releases stay for processes that import modules late.
KEEP_S = 86_400.0
KEEP_MOST = 8
# From linux/fcntl.h and linux/fs.h.
AT_FDCWD = -100
RENAME_EXCHANGE = 2
STOP_SIGNALS = (signal.SIGTERM, signal.SIGINT, signal.SIGHUP)


class BuildError(Exception):
    """A step of the build failed."""


@contextlib.contextmanager
def run_step(name: str) -> Iterator[None]:
    """Names the step in the error if it fails."""
    try:
        yield
    except (OSError, subprocess.SubprocessError) as error:
        raise BuildError(f"{name}: {error}") from error


def stop(number: int, frame: object) -> None:
    """Ends the build by an exception, so that its temporary files go."""
    del frame
    raise BuildError(f"stopped by {signal.Signals(number).name}")


def list_files(folder: pathlib.Path) -> list[pathlib.Path]:
    """Returns a folder's files without byte code, in a fixed order."""
    return sorted(
        path
        for path in folder.rglob("*")
        if path.is_file() and CACHE not in path.parts
    )


def compute_digest(files: list[pathlib.Path]) -> str:
    """Returns a digest of files, of their paths, and of the interpreter."""
    digest = hashlib.sha256()
    kind = f"{platform.machine()} {sys.implementation.cache_tag} {sys.version}"
    digest.update(kind.encode())
    for path in files:
        content = hashlib.sha256(path.read_bytes()).hexdigest()
        name = path.relative_to(ROOT).as_posix()
        digest.update(f"\n{name} {content}".encode())
    return digest.hexdigest()[:DIGEST_DIGITS]


@contextlib.contextmanager
def lock_builds() -> Iterator[None]:
    """Waits until no other build runs, and keeps others waiting."""
    TARGET.mkdir(exist_ok=True)
    descriptor = os.open(LOCK, os.O_RDWR | os.O_CREAT, 0o644)
    try:
        fcntl.flock(descriptor, fcntl.LOCK_EX)
        yield
    finally:
        os.close(descriptor)


@contextlib.contextmanager
def make_complete(folder: pathlib.Path) -> Iterator[pathlib.Path]:
    """Yields a temporary folder, which gets its name if nothing fails."""
    folder.parent.mkdir(exist_ok=True)
    temporary = folder.parent / f"{TEMPORARY}{uuid.uuid4().hex}"
    temporary.mkdir()
    try:
        yield temporary
        temporary.rename(folder)
    except BaseException:
        shutil.rmtree(temporary, ignore_errors=True)
        raise


def compile_folder(folder: pathlib.Path) -> None:
    """Compiles byte code; libraries may hold files for other interpreters."""
    compileall.compile_dir(folder, quiet=2, workers=1)


def install_libraries() -> pathlib.Path:
    """Returns the folder of the required libraries, installed if it is new."""
    folder = LIBRARIES / compute_digest([REQUIREMENTS])
    if folder.exists():
        return folder
    lines = REQUIREMENTS.read_text(encoding="utf-8").split()
    with run_step("install libraries"), make_complete(folder) as temporary:
        if lines:
            install = [sys.executable, "-m", "pip", "install", "--quiet"]
            places = ["--target", str(temporary), "-r", str(REQUIREMENTS)]
            subprocess.run([*install, *places], check=True)
        compile_folder(temporary)
    return folder


def link_file(source: str, target: str) -> str:
    """Links a file, or copies it where the file system has no links."""
    try:
        os.link(source, target)
    except OSError as error:
        if error.errno not in (errno.EPERM, errno.EXDEV, errno.EMLINK):
            raise
        shutil.copy2(source, target)
    return target


def assemble(folder: pathlib.Path, libraries: pathlib.Path) -> None:
    """Puts libraries, packages and programs together as a release."""
    with run_step("assemble release"), make_complete(folder) as temporary:
        shutil.copytree(
            libraries, temporary, copy_function=link_file, dirs_exist_ok=True
        )
        ignore = shutil.ignore_patterns(CACHE)
        copies = {temporary / x.name: x for x in PACKAGES}
        copies[temporary / PROGRAMS_FOLDER] = PROGRAMS
        for copy, source in copies.items():
            shutil.copytree(source, copy, ignore=ignore)
            compile_folder(copy)


def put_in_force(folder: pathlib.Path) -> None:
    """Replaces the link to the release in force."""
    with run_step("put release in force"):
        link = TARGET / f"{TEMPORARY}{uuid.uuid4().hex}"
        link.symlink_to(folder.relative_to(TARGET))
        if CURRENT.is_dir() and not CURRENT.is_symlink():
            replace_folder(link, CURRENT)
        else:
            link.replace(CURRENT)


def replace_folder(link: pathlib.Path, folder: pathlib.Path) -> None:
    """Replaces the folder that builds left before there were releases."""
    try:
        exchange(link, folder)
    except (OSError, AttributeError):
        # Some layered file systems can't rename the folders of their images,
        # and some C libraries lack the call.
        shutil.rmtree(folder)
        link.rename(folder)


def exchange(one: pathlib.Path, other: pathlib.Path) -> None:
    """Exchanges two paths, without a moment at which one doesn't exist."""
    rename = ctypes.CDLL(None, use_errno=True).renameat2
    paths = os.fsencode(one), os.fsencode(other)
    if rename(AT_FDCWD, paths[0], AT_FDCWD, paths[1], RENAME_EXCHANGE) != 0:
        code = ctypes.get_errno()
        raise OSError(code, os.strerror(code), str(other))


def remove_old(keep: set[pathlib.Path]) -> None:
    """Removes what was replaced long ago and what stopped builds have left."""
    with run_step("remove old releases"):
        for leftover in TARGET.glob(f"{TEMPORARY}*"):
            remove(leftover)
        for parent in (RELEASES, LIBRARIES):
            for leftover in parent.glob(f"{TEMPORARY}*"):
                remove(leftover)
            old = [x for x in parent.iterdir() if x not in keep]
            old.sort(key=lambda x: x.stat().st_mtime, reverse=True)
            for number, folder in enumerate(old):
                age_s = time.time() - folder.stat().st_mtime
                if number >= KEEP_MOST or age_s > KEEP_S:
                    remove(folder)


def remove(path: pathlib.Path) -> None:
    """Removes a link, or a folder with all that is in it."""
    if path.is_symlink():
        path.unlink()
        return
    hidden = path.parent / f"{TEMPORARY}{uuid.uuid4().hex}"
    # Without its name, a folder that is only half removed isn't used again.
    with contextlib.suppress(OSError):
        path = path.rename(hidden)
    shutil.rmtree(path, ignore_errors=True)


def build() -> None:
    """Builds a release of the sources as they are, if it isn't in force."""
    with run_step("read sources"):
        files = [pathlib.Path(__file__).resolve(), REQUIREMENTS]
        for folder in (*PACKAGES, PROGRAMS):
            files += list_files(folder)
        release = RELEASES / compute_digest(files)
    before = CURRENT.resolve()
    if before == release and release.is_dir():
        return
    libraries = install_libraries()
    if not release.is_dir():
        assemble(release, libraries)
    put_in_force(release)
    if before.is_dir():
        # Processes that began with it go on; its age counts from now.
        os.utime(before)
    remove_old({release, before, libraries})


def main() -> int:
    """Builds a release; returns the exit code."""
    for number in STOP_SIGNALS:
        signal.signal(number, stop)
    try:
        with run_step("lock builds"), lock_builds():
            build()
    except BuildError as error:
        print(f"build failed: {error}", file=sys.stderr)
        return 1
    return 0


if __name__ == "__main__":
    sys.exit(main())
