"""Steps that run the examples of docs/EMBEDDING.md."""

import ast
import pathlib
import textwrap

from behave import then

PAGE = pathlib.Path("docs/EMBEDDING.md")
CORE = pathlib.Path("packages/rhubarbbank-core/src/rhubarbbank_core")
INDENT = "    "
LEAST_EXAMPLES = 8
FORBIDDEN = {
    "aiohttp",
    "aiomisc",
    "asyncio",
    "http",
    "os",
    "select",
    "socket",
    "subprocess",
    "threading",
    "time",
    "uvloop",
    "zmq",
}


def read_examples():
    """Returns each indented block of the page."""
    blocks, current = [], []
    for line in [*PAGE.read_text(encoding="utf-8").splitlines(), "end"]:
        if line.startswith(INDENT) or (current and not line):
            current.append(line)
        elif current:
            blocks.append(textwrap.dedent("\n".join(current)))
            current = []
    return blocks


@then("the examples of the embedding page run one after the other")
def run_examples(context):
    examples = read_examples()
    assert len(examples) >= LEAST_EXAMPLES, len(examples)
    names = {}
    for example in examples:
        exec(compile(example, str(PAGE), "exec"), names)


@then("no module of the core imports sockets, loops, threads or clocks")
def check_imports(context):
    modules = sorted(CORE.glob("*.py"))
    assert modules
    for path in modules:
        for node in ast.walk(ast.parse(path.read_text(encoding="utf-8"))):
            names = []
            if isinstance(node, ast.Import):
                names = [alias.name for alias in node.names]
            elif isinstance(node, ast.ImportFrom):
                names = [node.module or ""]
            roots = {name.partition(".")[0] for name in names}
            allowed = {"http"} if path.name == "problem_status.py" else set()
            found = (roots & FORBIDDEN) - allowed
            assert not found, (path.name, found)
