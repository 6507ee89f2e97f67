"""Predicts when a model engine produces the first event of a new request.

Takes the engine's profile and load, and the prompt length of the request. The
prediction decides which engine a request goes to and whether it can be on time.

An engine batches its requests in passes. Each pass prefills at most one chunk of
prompt tokens and then runs a fixed number of decode steps for the requests that
already generate tokens. A request therefore waits for the prompts ahead of it, its own
prompt, and the decode steps in between.
"""

from dataclasses import dataclass
from math import ceil

from bamboolever.config.model import EngineProfile


@dataclass(frozen=True)
class EngineLoad:
    """Load and speed of one engine.

    ``writing`` requests generate tokens. ``waiting`` requests have no first event yet;
    their prompts have ``waiting_tokens`` tokens in total. ``slowdown`` is the factor by
    which the engine is slower than its profile: at 2.0 everything takes twice as long.
    """

    writing: int = 0
    waiting: int = 0
    waiting_tokens: int = 0
    slowdown: float = 1.0

    @property
    def active(self) -> int:
        """Number of all requests at the engine."""
        return self.writing + self.waiting


def add_loads(first: EngineLoad, second: EngineLoad) -> EngineLoad:
    """Return the sum of two loads at one engine; the slowdown is left out."""
    return EngineLoad(
        first.writing + second.writing,
        first.waiting + second.waiting,
        first.waiting_tokens + second.waiting_tokens,
    )


def subtract_load(total: EngineLoad, part: EngineLoad) -> EngineLoad:
    """Return ``total`` without a part of it, at least zero, with its slowdown."""
    return EngineLoad(
        max(0, total.writing - part.writing),
        max(0, total.waiting - part.waiting),
        max(0, total.waiting_tokens - part.waiting_tokens),
        total.slowdown,
    )


def pass_duration_s(profile: EngineProfile, sequences: int) -> float:
    """Return the seconds that the decode steps of one pass take for a batch.

    ``sequences`` is the number of requests in the batch; each is taken to have the
    typical context length.
    """
    context_tokens = profile.typical_prompt_tokens + profile.typical_response_tokens
    step_s = profile.step_s + sequences * (
        profile.step_per_sequence_s + context_tokens * profile.step_per_context_token_s
    )
    return profile.steps_per_pass * step_s


def full_pass_s(profile: EngineProfile) -> float:
    """Return the seconds of the longest pass: all slots in use and a whole chunk."""
    return prefill_s(profile, profile.chunk_tokens) + pass_duration_s(
        profile, profile.slots
    )


def slot_time_s(profile: EngineProfile) -> float:
    """Return the seconds for which a typical request holds a slot of a full engine.

    Meanwhile the prompt of one request is prefilled for each slot.
    """
    passes = ceil(profile.typical_response_tokens / max(1, profile.steps_per_pass))
    prefills_s = profile.slots * prefill_s(
        profile, round(profile.typical_prompt_tokens)
    )
    return passes * pass_duration_s(profile, profile.slots) + prefills_s


def prefill_s(profile: EngineProfile, tokens: int) -> float:
    """Return the seconds to prefill ``tokens`` prompt tokens.

    Returns 0 if the profile has no prefill rate.
    """
    if profile.prefill_tokens_per_s <= 0:
        return 0.0
    return tokens / profile.prefill_tokens_per_s


def predict_first_event_s(
    profile: EngineProfile, load: EngineLoad, prompt_tokens: int
) -> float:
    """Return the seconds until a request sent now has its first event.

    ``prompt_tokens`` is the length of its own prompt.
    """
    tokens = load.waiting_tokens + prompt_tokens
    chunks = max(1, ceil(tokens / max(1, profile.chunk_tokens)))
    steps_s = pass_duration_s(profile, load.active + 1)
    # A busy engine is on average halfway through a pass. The first event comes from
    # the pass that prefills the last chunk.
    passes = 1.0 if load.writing == 0 else chunks + 0.5
    return load.slowdown * (prefill_s(profile, tokens) + passes * steps_s)
