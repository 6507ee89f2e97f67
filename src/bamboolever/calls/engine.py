"""Predicts when a model engine makes the first event of a new request.

An engine works in passes. Each pass reads at most one chunk of waiting prompts
and then runs a fixed number of token steps for the requests that write, so a
request waits for the prompts ahead of it, its own, and the steps between them.
"""

from dataclasses import dataclass
from math import ceil

from bamboolever.config.model import EngineProfile


@dataclass(frozen=True)
class EngineLoad:
    """Requests at an engine: those that write, and those still unread."""

    writing: int = 0
    waiting: int = 0
    waiting_tokens: int = 0
    pace: float = 1.0

    @property
    def active(self) -> int:
        """Number of requests at the engine."""
        return self.writing + self.waiting


def pass_duration_s(profile: EngineProfile, sequences: int) -> float:
    """Return the seconds of one pass's token steps for so many requests."""
    context_tokens = profile.usual_prompt_tokens + profile.usual_answer_tokens
    step_s = profile.step_s + sequences * (
        profile.step_per_sequence_s + context_tokens * profile.step_per_context_token_s
    )
    return profile.steps_per_pass * step_s


def prefill_s(profile: EngineProfile, tokens: int) -> float:
    """Return the seconds that reading so many prompt tokens takes."""
    if profile.prefill_tokens_per_s <= 0:
        return 0.0
    return tokens / profile.prefill_tokens_per_s


def predict_first_event_s(
    profile: EngineProfile, load: EngineLoad, prompt_tokens: int
) -> float:
    """Return the seconds until a request sent now has its first event."""
    tokens = load.waiting_tokens + prompt_tokens
    chunks = max(1, ceil(tokens / max(1, profile.chunk_tokens)))
    steps_s = pass_duration_s(profile, load.active + 1)
    # Half a pass is under way on average; the last pass writes the event.
    passes = 1.0 if load.writing == 0 else chunks + 0.5
    return load.pace * (prefill_s(profile, tokens) + passes * steps_s)
