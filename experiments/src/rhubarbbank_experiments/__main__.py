"""The load and experiment tool's command line."""

from collections.abc import Sequence

import fire

from rhubarbbank_experiments import demo
from rhubarbbank_experiments import load_main
from rhubarbbank_experiments import mix_main
from rhubarbbank_experiments import path_main
from rhubarbbank_experiments import platform_added
from rhubarbbank_experiments import replay_log
from rhubarbbank_experiments import slopes_main
from rhubarbbank_experiments import stop_signals


class Commands:
    """Runs deployments on this machine against the stand-ins."""

    def demo(self) -> None:
        """Shows both deployments at work, one after the other."""
        demo.main()

    def load(
        self,
        settings: str = load_main.SETTINGS,
        report: str = load_main.REPORT,
        deployments: str | Sequence[str] = (),
        arms: str | Sequence[str] = (),
        seeds: int | Sequence[int] = (),
    ) -> None:
        """Runs policies side by side under an open-loop load.

        Args:
            settings: The JSON file that says what to offer, to which arms.
            report: Where the report goes; a plot and a page stand beside it.
            deployments: Those to run, with commas between; all if left out.
            arms: Those to run, with commas between; all if left out.
            seeds: With commas between, in place of the settings'.
        """
        load_main.run(
            settings=settings,
            report=report,
            deployment_names=list_names(deployments),
            arms=list_names(arms),
            seeds=[seeds] if isinstance(seeds, int) else seeds,
        )

    def path(
        self,
        settings: str = path_main.SETTINGS,
        report: str = path_main.REPORT,
    ) -> None:
        """Measures what entry and sidecar add to a stream, and cost.

        Args:
            settings: The JSON file that says what to measure.
            report: Where the report goes.
        """
        path_main.run(settings=settings, report=report)

    def mix(
        self,
        settings: str = mix_main.SETTINGS,
        report: str = mix_main.REPORT,
        mixes: str | Sequence[str] = (),
        arms: str | Sequence[str] = (),
    ) -> None:
        """Plays the users' mixes in simulated time, each arm beside the rest.

        Args:
            settings: The JSON file that says what to play.
            report: Where the report goes; a plot and a page stand beside it.
            mixes: Sites, with commas between; the settings' if left out.
            arms: Those beside the product; all if left out.
        """
        mix_main.run(
            settings=settings,
            report=report,
            mixes=list_names(mixes),
            arms=list_names(arms),
        )

    def added(
        self,
        report: str = platform_added.REPORT,
        pairs: int = platform_added.PAIRS,
    ) -> str:
        """Measures what an entry on the platform adds to a first event.

        Args:
            report: Where the report goes.
            pairs: Pairs of chats, one of them straight to the runner.
        """
        return platform_added.run(report=report, pairs=pairs)

    def replay(self, *logs: str) -> list[str]:
        """Replays the events that processes have recorded in their logs.

        Args:
            *logs: Paths, each the log of one run with `record_events` set.
        """
        return [replay_log.replay(log) for log in logs]

    def slopes(
        self, report: str = slopes_main.REPORT, processes: bool = True
    ) -> None:
        """Measures what each part costs over sizes, with lines through it.

        Args:
            report: Where the report goes.
            processes: Whether to check control with real processes, too.
        """
        slopes_main.run(report=report, processes=processes)


def list_names(given: str | Sequence[str]) -> Sequence[str]:
    """Returns names as a list, since one alone arrives as a string."""
    return [given] if isinstance(given, str) else given


def main() -> None:
    """Runs the command line."""
    stop_signals.STOP_SIGNALS.install()
    fire.Fire(Commands, name="rhubarbbank-experiments")


if __name__ == "__main__":
    main()
