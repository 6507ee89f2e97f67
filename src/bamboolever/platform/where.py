"""The question where a request would go now, and an entry's answer, as JSON.

`POST /where` on an entry's operator port takes a question and returns an answer. The
key is part of the body, not of the target, so that no log of requests shows it.
"""

from typing import Annotated, Any, Literal, Self, TypeVar

import pydantic_core
from pydantic import ConfigDict, Field, SecretStr, ValidationError, model_validator

from bamboolever.platform.models import DeferredModel, validate

WHERE_PATH = b"/where"
# A question has one path and one key; both are far shorter.
MAX_QUESTION_BYTES = 16 * 1024
MAX_TOKENS = 10**9

_Name = Annotated[str, Field(min_length=1, max_length=255)]
_Model = TypeVar("_Model", bound=DeferredModel)
_Tokens = Annotated[int, Field(strict=True, ge=0, le=MAX_TOKENS)]


class QuestionError(Exception):
    """Raised when a question is invalid; the message contains none of its values."""


class WhereQuestion(DeferredModel):
    """A request as an entry would see it.

    ``path`` may have a query. The caller is named by its ``key`` or ``workspace``, or
    by neither on anonymous routes. ``attempt`` decides between the services of a route
    with several. ``output_tokens`` changes nothing yet: no rule looks at it.
    """

    model_config = ConfigDict(extra="forbid", frozen=True, defer_build=True)

    host: _Name
    path: Annotated[str, Field(max_length=4096, pattern="^/")]
    key: SecretStr | None = None
    workspace: _Name | None = None
    model: _Name | None = None
    prompt_tokens: _Tokens = 0
    output_tokens: _Tokens = 0
    attempt: _Name = "where"

    @model_validator(mode="after")
    def _check_caller(self) -> Self:
        if self.key is not None and self.workspace is not None:
            raise ValueError("give a key or a workspace, not both")
        return self


class WhereStep(DeferredModel):
    """What one rule leaves: instance ids ``excluded``, and how many are ``left``."""

    rule: str
    left: int
    excluded: tuple[str, ...]
    waived: bool


class WhereChoice(DeferredModel):
    """An upstream and its predicted seconds to the first event.

    ``predicted_s`` is 0 for services whose latency is not predicted.
    """

    upstream: str
    zone: str
    region: str | None
    predicted_s: float


class WhereAnswer(DeferredModel):
    """Where the request would go now.

    ``decision`` is ``refused`` if it is not admitted, else the dispatcher's.
    ``regions`` is None if all are allowed. ``status``, ``reason`` and ``retry_after_s``
    are those of a refusal or rejection; without a Retry-After, the last is None. A
    queued request waits for ``waits_s`` seconds at most, with ``queued_before`` others
    before it.
    """

    entry: str
    configuration: int
    decision: Literal["placed", "queued", "rejected", "refused"]
    route: str | None = None
    workspace: str | None = None
    service: str | None = None
    shares: dict[str, float] = {}
    priority: int | None = None
    regions: tuple[str, ...] | None = None
    steps: tuple[WhereStep, ...] = ()
    best: tuple[WhereChoice, ...] = ()
    held_back: tuple[str, ...] = ()
    left_regions: tuple[str, ...] = ()
    uses_permit: bool = False
    uses_token: bool = False
    is_last_resort: bool = False
    waits_s: float | None = None
    queued_before: int | None = None
    status: int | None = None
    reason: str | None = None
    retry_after_s: float | None = None


def decode_question(body: bytes) -> WhereQuestion:
    """Return the question in a request's body.

    Raises `QuestionError`, which names the fields that are wrong but no value: one of
    them may be a key.
    """
    return _decode(WhereQuestion, body)


def decode_answer(body: bytes) -> WhereAnswer:
    """Return the answer in a response's body; raises `QuestionError`."""
    return _decode(WhereAnswer, body)


def make_answer(content: dict[str, Any]) -> WhereAnswer:
    """Return an answer with the given fields."""
    return validate(WhereAnswer, content)


def _decode(model: type[_Model], body: bytes) -> _Model:
    try:
        return validate(model, pydantic_core.from_json(body))
    except ValidationError as error:
        # The input is left out of the messages, and so are unknown fields' names.
        raise QuestionError("; ".join(map(_describe, _faults_of(error)))) from None
    except ValueError:
        raise QuestionError("the body is not JSON") from None


def _faults_of(error: ValidationError) -> list[Any]:
    return error.errors(include_input=False, include_url=False, include_context=False)


def _describe(fault: Any) -> str:
    if fault["type"] == "extra_forbidden":
        return f"unknown field; known are {', '.join(WhereQuestion.model_fields)}"
    path = ".".join(str(part) for part in fault["loc"])
    message = str(fault["msg"]).removeprefix("Value error, ")
    return f"{path}: {message}" if path else message
