"""Runs the mix experiment: every arm on the same requests, paired.

The arms differ by one decision each; the page gives, for each site, load and
trouble, an arm's figures and by how much the product is better than it.
"""

from collections.abc import Iterable
from collections.abc import Sequence
import pathlib
import statistics

import msgspec

from rhubarbbank_experiments import mix_arms
from rhubarbbank_experiments import mix_arrivals
from rhubarbbank_experiments import mix_figures
from rhubarbbank_experiments import mix_plot
from rhubarbbank_experiments import mix_settings
from rhubarbbank_experiments import mix_upstreams
from rhubarbbank_experiments import mix_world
from rhubarbbank_experiments import report_files

SETTINGS = "experiments/settings/mix.json"
REPORT = "docs/measurements/mix.json"
FAR_PERCENT = 100.0
HEADINGS = (
    "site",
    "trouble",
    "load",
    "arm",
    "worth",
    "product is better by",
    "in runs",
    "credit",
    "worst class",
    "models",
    "again",
    "far %",
    "kept %",
)


class TroubleSettings(msgspec.Struct, frozen=True, kw_only=True):
    """What goes wrong with one engine; times are shares of the run.

    Attributes:
        name: The trouble.
        slowness: Times its usual step meanwhile.
        crashes: Whether it crashes and is away meanwhile.
        begins: When it begins.
        ends: When it is over.
    """

    name: str
    slowness: float = 1.0
    crashes: bool = False
    begins: float = 0.3
    ends: float = 0.6

    def build(self, duration_s: float) -> mix_upstreams.Trouble:
        """Returns it for a run of some length."""
        begins_s = mix_world.START_S + self.begins * duration_s
        return mix_upstreams.Trouble(
            slowness=self.slowness,
            crash_at=begins_s if self.crashes else None,
            begins_s=begins_s,
            ends_s=mix_world.START_S + self.ends * duration_s,
        )


class MixRunSettings(
    msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True
):
    """What to run.

    Attributes:
        mixes: The sites.
        loads: Times each site's usual requests.
        seeds: Each draws other requests.
        duration_s: How long requests come.
        entries: Numbers of entries before the same upstreams; none for the
            mix's own.
        troubles: What goes wrong; each is a run of its own.
    """

    mixes: tuple[str, ...]
    loads: tuple[float, ...]
    seeds: tuple[int, ...]
    duration_s: float
    troubles: tuple[TroubleSettings, ...]
    entries: tuple[int, ...] = ()


def play(
    mix: mix_settings.Mix,
    arm: mix_arms.Arm,
    *,
    load: float,
    seed: int,
    duration_s: float,
    trouble: TroubleSettings,
) -> mix_figures.MixFigures:
    """Plays one arm once."""
    world = mix_world.MixWorld(
        mix=mix,
        arm=arm,
        arrivals=mix_arrivals.draw_arrivals(
            mix, load=load, duration_s=duration_s, seed=seed
        ),
        seed=seed,
        trouble=trouble.build(duration_s),
    )
    world.run()
    return mix_figures.build_figures(
        world, arm=arm.name, trouble=trouble.name, load=load, seed=seed
    )


def list_mixes(settings: MixRunSettings) -> list[mix_settings.Mix]:
    """Returns the sites, each with every number of entries that is wanted."""
    found: list[mix_settings.Mix] = []
    for name in settings.mixes:
        mix = mix_settings.read_mix(name)
        if not settings.entries:
            found.append(mix)
        for entries in settings.entries:
            named = f"{name}, {entries} entries"
            found.append(
                msgspec.structs.replace(mix, name=named, entries=entries)
            )
    return found


def play_all(
    settings: MixRunSettings, arms: Sequence[mix_arms.Arm]
) -> Iterable[mix_figures.MixFigures]:
    """Plays every arm in every case."""
    for mix in list_mixes(settings):
        for trouble in settings.troubles:
            for load in settings.loads:
                for seed in settings.seeds:
                    for arm in arms:
                        yield play(
                            mix,
                            arm,
                            load=load,
                            seed=seed,
                            duration_s=settings.duration_s,
                            trouble=trouble,
                        )


def lay_out(figures: Sequence[mix_figures.MixFigures]) -> list[str]:
    """Returns the table of all cases as lines of Markdown."""
    lines = [
        "| " + " | ".join(HEADINGS) + " |",
        "| " + " | ".join("---" for _ in HEADINGS) + " |",
    ]
    cases = dict.fromkeys((x.mix, x.trouble, x.load) for x in figures)
    for case in cases:
        runs = [x for x in figures if (x.mix, x.trouble, x.load) == case]
        product = [x for x in runs if x.arm == mix_arms.PRODUCT.name]
        for arm in dict.fromkeys(x.arm for x in runs):
            own = [x for x in runs if x.arm == arm]
            lines.append(lay_out_arm(own, product))
    return lines


def lay_out_arm(
    own: Sequence[mix_figures.MixFigures],
    product: Sequence[mix_figures.MixFigures],
) -> str:
    """Returns one arm's line; pairs are runs with the same seed."""
    gains = [x.worth - y.worth for x, y in zip(product, own, strict=True)]
    first = own[0]
    better = sum(x > 0.0 for x in gains)
    cells = (
        first.mix,
        first.trouble,
        f"{first.load:g}",
        first.arm,
        f"{mix_figures.average(own, 'worth'):.3f}",
        f"{statistics.fmean(gains):+.3f}",
        f"{better} of {len(gains)}",
        f"{mix_figures.average(own, 'credit'):.3f}",
        f"{mix_figures.average(own, 'worst_class'):.3f}",
        f"{mix_figures.average(own, 'model_cost'):.3f}",
        f"{mix_figures.average(own, 'again'):.2f}",
        f"{mix_figures.average(own, 'far') * FAR_PERCENT:.0f}",
        f"{mix_figures.average(own, 'kept') * FAR_PERCENT:.0f}",
    )
    return "| " + " | ".join(cells) + " |"


def run(
    *,
    settings: str = SETTINGS,
    report: str = REPORT,
    mixes: Sequence[str] = (),
    arms: Sequence[str] = (),
) -> None:
    """Plays the mixes and writes a report, a plot and a page.

    Args:
        settings: The JSON file that says what to run.
        report: Where the report goes; plot and page stand beside it.
        mixes: Those to play; nothing named plays the settings'.
        arms: Those to play beside the product; nothing named plays all.
    """
    wanted = msgspec.json.decode(
        pathlib.Path(settings).read_bytes(), type=MixRunSettings
    )
    if mixes:
        wanted = msgspec.structs.replace(wanted, mixes=tuple(mixes))
    chosen = [mix_arms.find_arm(x) for x in arms] or list(mix_arms.ARMS)
    if mix_arms.PRODUCT not in chosen:
        chosen.insert(0, mix_arms.PRODUCT)
    figures = []
    for found in play_all(wanted, chosen):
        figures.append(found)
        print(
            f"{found.mix} {found.trouble} load {found.load:g} seed "
            f"{found.seed} {found.arm}: worth {found.worth:.3f}",
            flush=True,
        )
    command = (
        f"python -m rhubarbbank_experiments mix --settings {settings} "
        f"--report {report} --mixes {','.join(wanted.mixes)} "
        f"--arms {','.join(x.name for x in chosen)}"
    )
    path = pathlib.Path(report)
    plot = path.with_suffix(".png")
    mix_plot.draw(figures, plot)
    report_files.write_report(
        path, command=command, settings=wanted, result=figures
    )
    page = [
        "# Mixes",
        "",
        f"    {command}",
        "",
        f"![by load]({plot.name})",
        "",
        *lay_out(figures),
        "",
    ]
    path.with_suffix(".md").write_text("\n".join(page), encoding="utf-8")
    print("\n".join(lay_out(figures)))
