"""Stand-in of a model engine: the HTTP side.

Serves the chat-completions shape over the batch in `engine_batch`, with
answers from `engine_text` and the prefix cache in `engine_cache`. Beside it:
`GET /load`, `/health`, `/versions`, `/cache_events?after=N`, and
`POST /orders`, `/kv/export`, `/kv/import`.

The extension field `resume_from` is the number of tokens that the caller
already has; the stream begins with the next one. `usage.completion_tokens`
counts the whole answer, those tokens included. A caller that disconnects
frees its slot at once. A crash closes every open stream without a word; for
`restart_s` all paths but the control paths answer 503, and then the engine is
back as at its start.
"""

import asyncio
import collections
from collections.abc import AsyncIterator
import dataclasses
import random
import time

import aiohttp.web
import msgspec

from rhubarbbank_standins import engine_batch
from rhubarbbank_standins import engine_cache
from rhubarbbank_standins import engine_chunks
from rhubarbbank_standins import engine_messages
from rhubarbbank_standins import engine_orders
from rhubarbbank_standins import engine_text
from rhubarbbank_standins import rating
from rhubarbbank_standins import settings
from rhubarbbank_standins import web

DEFAULT_PRIORITY = 1
KEPT_REQUESTS = 2_000
SSE_HEADERS = {
    "Content-Type": "text/event-stream; charset=utf-8",
    "Cache-Control": "no-cache",
}


class Engine:
    """The model engine.

    Args:
        configured: Its settings.
    """

    def __init__(self, *, configured: settings.EngineSettings) -> None:
        self.configured = configured
        self.faults = engine_messages.EngineFaults()
        self.random = random.Random(configured.seed)
        self.counts = engine_messages.Counts()
        self.runs_by_version: collections.Counter[str] = collections.Counter()
        self.runs_by_request_id: collections.Counter[str] = (
            collections.Counter()
        )
        self.back_at_s = 0.0
        self.orders = engine_orders.Orders(configured=configured)
        self.recent: collections.OrderedDict[str, engine_messages.KvExport] = (
            collections.OrderedDict()
        )
        self.cache = engine_cache.PrefixCache(
            capacity=configured.cache_blocks,
            event_lag_s=configured.cache_event_lag_s,
            event_drop=configured.cache_event_drop,
            seed=configured.seed,
        )
        self.batch = engine_batch.Batch(
            pace=engine_batch.Pace(
                max_batch=configured.max_batch,
                base_step_s=configured.base_step_ms / 1000.0,
                per_running_s=configured.per_running_ms / 1000.0,
            ),
            start=self.start_stream,
        )
        self.load_at_s = time.monotonic()
        self.load_tokens = 0
        self.load = self.measure_load(0.0)

    def make_application(self) -> aiohttp.web.Application:
        """Returns the application to serve."""
        application = web.make_application(standin=self)
        application.middlewares.append(self.refuse_while_away)
        router = application.router
        router.add_post("/v1/chat/completions", self.complete)
        router.add_get("/load", self.get_load)
        router.add_get("/health", self.get_health)
        router.add_get("/versions", self.get_versions)
        router.add_get("/cache_events", self.get_cache_events)
        router.add_post("/orders", self.orders.handle)
        router.add_post("/kv/export", self.export_kv)
        router.add_post("/kv/import", self.import_kv)
        web.repeat_in_background(
            application, self.refresh_load, self.configured.load_lag_s
        )
        application.cleanup_ctx.append(self.close_orders)
        return application

    async def close_orders(
        self, _: aiohttp.web.Application
    ) -> AsyncIterator[None]:
        """Ends loads that are under way when the server stops."""
        yield
        self.orders.reset()

    def make_counts(self) -> object:
        """Returns the counts of runs, tokens and orders."""
        return {
            **dataclasses.asdict(self.counts),
            "tokens": self.batch.tokens,
            "runs_by_version": self.runs_by_version,
            "runs_by_request_id": self.runs_by_request_id,
            "running": len(self.batch.running),
            "waiting": len(self.batch.waiting),
            **self.orders.make_counts(),
        }

    def set_faults(self, body: bytes) -> None:
        """Replaces the faults."""
        self.faults = settings.decode_strictly(
            body, engine_messages.EngineFaults
        )
        self.batch.slow_factor = self.faults.slow_factor
        self.batch.hang = self.faults.hang
        if self.faults.crash_now:
            self.crash()

    @aiohttp.web.middleware
    async def refuse_while_away(
        self, request: aiohttp.web.Request, handler: web.Handler
    ) -> aiohttp.web.StreamResponse:
        """Answers 503 while the engine restarts after a crash."""
        away = time.monotonic() < self.back_at_s
        if away and request.path not in web.CONTROL_PATHS:
            self.counts.refused_while_away += 1
            return web.make_error(503, "restarting")
        return await handler(request)

    async def complete(
        self, request: aiohttp.web.Request
    ) -> aiohttp.web.StreamResponse:
        """Runs one chat completion, streamed or whole."""
        try:
            wanted = msgspec.json.decode(
                await request.read(), type=engine_messages.ChatRequest
            )
        except msgspec.DecodeError as error:
            return web.make_error(400, str(error))
        if wanted.model not in self.orders.loaded:
            self.counts.unknown_versions += 1
            return web.make_error(404, f"{wanted.model} is not loaded")
        if self.random.random() < self.faults.error_rate:
            self.counts.errors += 1
            return web.make_error(500, "not run")
        stream = self.make_stream(request, wanted)
        if wanted.stream:
            return await self.answer_streamed(request, stream)
        return await self.answer_whole(stream, wanted.resume_from)

    def make_stream(
        self, request: aiohttp.web.Request, wanted: engine_messages.ChatRequest
    ) -> engine_batch.Stream:
        """Returns the stream that a request asks for."""
        prompt = engine_text.render_prompt(wanted.messages)
        model = wanted.model.partition("@")[0]
        loss = self.faults.bad_quality.get(wanted.model, 0.0)
        marker = rating.make_loss_marker(loss).encode() if loss else b""
        limit = wanted.max_tokens
        answer = engine_text.make_answer(
            model_version=wanted.model,
            prompt=prompt,
            mean_tokens=self.configured.mean_tokens.get(
                model, self.configured.default_mean_tokens
            ),
            max_tokens=wanted.max_completion_tokens if limit is None else limit,
            first_text=marker,
        )
        request_id = request.headers.get("X-Request-Id", "")
        head, tail = engine_chunks.make_chunk_template(request_id, wanted.model)
        return engine_batch.Stream(
            request_id=request_id,
            model_version=wanted.model,
            priority=int(request.headers.get("X-Priority", DEFAULT_PRIORITY)),
            prompt=prompt,
            answer=answer,
            next_index=wanted.resume_from,
            transport=request.transport,
            is_streamed=wanted.stream,
            head=head,
            tail=tail,
            done=asyncio.get_running_loop().create_future(),
        )

    async def answer_streamed(
        self, request: aiohttp.web.Request, stream: engine_batch.Stream
    ) -> aiohttp.web.StreamResponse:
        """Sends a stream as server-sent events, one token a chunk."""
        response = aiohttp.web.StreamResponse(headers=SSE_HEADERS)
        response.enable_chunked_encoding()
        await response.prepare(request)
        await self.run(stream)
        await response.write(engine_chunks.make_last_chunk(stream))
        await response.write_eof(b"data: [DONE]\n\n")
        return response

    async def answer_whole(
        self, stream: engine_batch.Stream, resume_from: int
    ) -> aiohttp.web.Response:
        """Answers a whole completion when its last token is made."""
        await self.run(stream)
        return web.make_json(engine_chunks.make_completion(stream, resume_from))

    async def run(self, stream: engine_batch.Stream) -> None:
        """Runs a stream to its end; frees its slot if the caller leaves."""
        self.batch.submit(stream)
        try:
            await stream.done
        finally:
            if self.batch.cancel(stream):
                self.counts.cancelled += 1
        self.counts.finished += 1
        spoken = engine_text.render_message(
            "assistant", stream.answer.get_text(0)
        )
        self.cache.store(
            engine_text.hash_blocks(
                stream.model_version, stream.prompt + spoken
            )
        )

    def start_stream(self, stream: engine_batch.Stream) -> float | None:
        """Counts one start and returns its prefill time in seconds.

        Returns None when the stream crashed the engine.
        """
        self.runs_by_version[stream.model_version] += 1
        if stream.request_id:
            self.runs_by_request_id[stream.request_id] += 1
        if self.faults.crash_on and self.faults.crash_on in stream.prompt:
            stream.abort()
            self.crash()
            return None
        blocks = engine_text.hash_blocks(stream.model_version, stream.prompt)
        stream.cached_tokens = (
            self.cache.count_cached(blocks) * engine_text.TOKENS_PER_BLOCK
        )
        self.cache.store(blocks)
        self.remember(stream, blocks)
        prompt_tokens = engine_text.count_prompt_tokens(stream.prompt)
        uncached = prompt_tokens + stream.next_index - stream.cached_tokens
        return max(0, uncached) / self.configured.prefill_tokens_per_s

    def remember(
        self, stream: engine_batch.Stream, blocks: tuple[str, ...]
    ) -> None:
        """Keeps what an export of this request's KV cache needs."""
        self.recent[stream.request_id] = engine_messages.KvExport(
            request_id=stream.request_id,
            model_version=stream.model_version,
            blocks=blocks,
        )
        if len(self.recent) > KEPT_REQUESTS:
            self.recent.popitem(last=False)

    def crash(self) -> None:
        """Closes every stream and stays away for `restart_s`."""
        self.counts.crashes += 1
        self.back_at_s = time.monotonic() + self.configured.restart_s
        for stream in self.batch.clear():
            stream.abort()
        self.cache.clear()
        self.recent.clear()
        self.orders.reset()

    def measure_load(self, period_s: float) -> engine_messages.Load:
        """Returns the load now; tokens per second over a period."""
        tokens = self.batch.tokens - self.load_tokens
        return engine_messages.Load(
            running=len(self.batch.running),
            waiting=len(self.batch.waiting),
            max_batch=self.configured.max_batch,
            tokens_per_s=tokens / period_s if period_s > 0.0 else 0.0,
            kv_used_fraction=self.cache.used_fraction,
            age_s=0.0,
        )

    def refresh_load(self) -> None:
        """Takes the load that is reported from now on."""
        now = time.monotonic()
        self.load = self.measure_load(now - self.load_at_s)
        self.load_at_s = now
        self.load_tokens = self.batch.tokens

    async def get_load(self, _: aiohttp.web.Request) -> aiohttp.web.Response:
        """Answers the load as it was at the last refresh."""
        if self.configured.load_lag_s <= 0.0:
            self.refresh_load()
        age_s = time.monotonic() - self.load_at_s
        return web.make_json(dataclasses.replace(self.load, age_s=age_s))

    async def get_health(self, _: aiohttp.web.Request) -> aiohttp.web.Response:
        """Answers 200 while the engine is up, even if it hangs."""
        return web.make_json({"state": "up"})

    async def get_versions(
        self, _: aiohttp.web.Request
    ) -> aiohttp.web.Response:
        """Answers what is loaded, the role and the last fence seen."""
        return web.make_json(self.orders.describe())

    async def get_cache_events(
        self, request: aiohttp.web.Request
    ) -> aiohttp.web.Response:
        """Answers the cache events after a sequence number."""
        after = int(request.query.get("after", "0"))
        return web.make_json(self.cache.read_events(after))

    async def export_kv(
        self, request: aiohttp.web.Request
    ) -> aiohttp.web.Response:
        """Answers the KV cache of a request that ran here lately."""
        try:
            wanted = msgspec.json.decode(
                await request.read(), type=engine_messages.ExportRequest
            )
        except msgspec.DecodeError as error:
            return web.make_error(400, str(error))
        exported = self.recent.get(wanted.request_id)
        if exported is None:
            return web.make_error(404, "no such request")
        return web.make_json(exported)

    async def import_kv(
        self, request: aiohttp.web.Request
    ) -> aiohttp.web.Response:
        """Makes an exported prefix cached here."""
        try:
            exported = msgspec.json.decode(
                await request.read(), type=engine_messages.KvExport
            )
        except msgspec.DecodeError as error:
            return web.make_error(400, str(error))
        self.cache.store(exported.blocks)
        return web.make_json({"blocks": len(exported.blocks)})
