"""The mixes of requests that the users' sites have, as settings.

`read_mix` reads a JSON file of `experiments/mixes/`; `mix_arrivals` draws
requests from it and `mix_world` plays them. The figures are rounded: a policy
that is only good for exact ones is none.
"""

import pathlib

import msgspec

from rhubarbbank_router import configuration
from rhubarbbank_router import window_budget

FOLDER = pathlib.Path("experiments/mixes")


class TokenSpread(msgspec.Struct, frozen=True, kw_only=True):
    """Lengths in tokens, log-normal.

    Attributes:
        mean: Their mean, but for the cut at `most`.
        sigma: Of the logarithm.
        most: The longest.
    """

    mean: float
    sigma: float
    most: int


class MixClass(msgspec.Struct, frozen=True, kw_only=True):
    """One class of requests.

    Attributes:
        name: The class; its route has the same name.
        share: Of all requests, relative to the other classes.
        kind: What may be repeated.
        worth: Of an answer within the objective.
        late_worth: Of a later one.
        priority: 0 is the most urgent.
        objective_s: Time to the answer or its first event.
        wait_s: How long a caller waits.
        attempts: Most upstreams that one request may run on.
        pause_s: Longest pause between events that is on time.
        prompt: Lengths of prompts; None where no model answers.
        answer: Lengths of answers; None where no model answers.
        shared_parts: How many different prompts' beginnings there are.
        shared_tokens: Length of such a beginning.
        sessions: How many sessions there are.
        session_tokens: Length of what a session's prompts share.
        work_ms: Mean time that a service works on one.
        work_sigma: Of its logarithm.
        error_share: Share of the runs of a service that fail.
    """

    name: str
    share: float
    kind: configuration.RouteKind
    worth: float
    late_worth: float
    priority: int
    objective_s: float
    wait_s: float
    attempts: int
    pause_s: float = 1.5
    prompt: TokenSpread | None = None
    answer: TokenSpread | None = None
    shared_parts: int = 1
    shared_tokens: int = 0
    sessions: int = 1
    session_tokens: int = 0
    work_ms: float = 0.0
    work_sigma: float = 0.5
    error_share: float = 0.0

    @property
    def is_generation(self) -> bool:
        """Whether a model answers."""
        return self.prompt is not None and self.answer is not None


class MixModel(msgspec.Struct, frozen=True, kw_only=True):
    """One size of model.

    Attributes:
        name: The model.
        pace: Time for a token, relative to the engine's settings.
        quality: Share of requests that it answers well.
        cost: Per 1,000 tokens generated; tokens read count as a quarter.
    """

    name: str
    pace: float
    quality: float
    cost: float


class EngineSettings(msgspec.Struct, frozen=True, kw_only=True):
    """The engines; all are alike.

    Attributes:
        count: How many there are, in turn in each data centre.
        slots: Streams that run side by side.
        queue: Requests that wait at most.
        step_ms: Time of a step that generates a token for each stream.
        step_ms_per_stream: What each stream adds to a step.
        prefill_tokens_per_ms: Speed of reading prompts.
        first_ms: Before a request is admitted.
        stride: Tokens in one event.
        chunk_tokens: Most tokens of prompts that are read within one step.
        cache_tokens: Tokens of prompts that are kept.
    """

    count: int
    slots: int
    queue: int
    step_ms: float
    step_ms_per_stream: float
    prefill_tokens_per_ms: float
    first_ms: float
    stride: int
    chunk_tokens: int
    cache_tokens: int


class ServiceSettings(msgspec.Struct, frozen=True, kw_only=True):
    """The runners of the plain service; all are alike.

    Attributes:
        count: How many there are, in turn in each data centre.
        slots: Requests that run side by side.
        queue: Requests that wait at most.
    """

    count: int
    slots: int
    queue: int


class NetworkSettings(msgspec.Struct, frozen=True, kw_only=True):
    """One-way latencies.

    Attributes:
        near_ms: Within a data centre.
        far_ms: Between data centres.
        connect_ms: To open a connection, besides the ways there and back.
    """

    near_ms: float
    far_ms: float
    connect_ms: float


class Mix(
    msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True
):
    """One site's requests and what answers them.

    Attributes:
        name: The site.
        data_centres: Where entries and upstreams stand, in turn.
        entries: How many there are.
        requests_per_s: All entries together, at load 1.
        retry: The budget for additional sends.
        network: Latencies.
        models: Smallest first.
        engines: What runs the models.
        services: What runs the plain requests.
        classes: The classes of requests.
    """

    name: str
    data_centres: tuple[str, ...]
    entries: int
    requests_per_s: float
    retry: window_budget.BudgetLimits
    network: NetworkSettings
    models: tuple[MixModel, ...]
    engines: EngineSettings
    services: ServiceSettings
    classes: tuple[MixClass, ...]

    def find_model(self, name: str) -> MixModel:
        """Returns a model by its name."""
        return next(each for each in self.models if each.name == name)


def read_mix(name: str) -> Mix:
    """Returns the mix of a site.

    Raises:
        FileNotFoundError: There is no such mix.
        msgspec.ValidationError: The file has a fault.
    """
    path = FOLDER / f"{name}.json"
    return msgspec.json.decode(path.read_bytes(), type=Mix)
