"""The documents that configure the fleet: contracts, services and rollouts.

Operators write contracts and services as TOML files with quantities such as
"30 s". Checked documents are stored as JSON with plain numbers: seconds, bytes and
bytes per second. Both forms are validated when they enter a process.
"""

import json
import tomllib
from collections.abc import Mapping
from dataclasses import dataclass
from pathlib import Path
from typing import Annotated, Any, Literal

from pydantic import (
    BaseModel,
    BeforeValidator,
    ConfigDict,
    Field,
    ValidationError,
    model_validator,
)
from returns.result import Failure, Result, Success

from bamboolever._units import parse_rate, parse_size, parse_time

CONTRACT_KIND = "contracts"
SERVICE_KIND = "services"
ROLLOUT_KIND = "rollouts"
CONFIGURATION_KINDS = (CONTRACT_KIND, SERVICE_KIND, ROLLOUT_KIND)

SHA256_PATTERN = r"^[0-9a-f]{64}$"
NAME_PATTERN = r"^[a-z0-9][a-z0-9._-]{0,62}$"


def _parse_unless_stored(parse: Any) -> Any:
    """Return a validator that parses a quantity, or keeps a stored number."""

    def convert(value: object, info: Any) -> object:
        if info.context is not None and info.context.get("is_stored"):
            return value
        return parse(value)

    return convert


#: Bytes, written with a unit such as "1 MB".
Size = Annotated[int, BeforeValidator(_parse_unless_stored(parse_size))]
#: Seconds, written with a unit such as "30 s".
Duration = Annotated[float, BeforeValidator(_parse_unless_stored(parse_time))]
#: Bytes per second, written with a unit such as "10 Mbit/s".
ByteRate = Annotated[float, BeforeValidator(_parse_unless_stored(parse_rate))]
Name = Annotated[str, Field(pattern=NAME_PATTERN)]


class Document(BaseModel):
    """Base of every document; unknown keys are errors."""

    model_config = ConfigDict(extra="forbid", frozen=True)


class Contract(Document):
    """The API keys, allowed services and limits of one workspace.

    ``queue`` limits the calls that wait at one entry, ``concurrency`` those in flight
    at all entries. While calls wait, a higher ``priority`` gives the workspace a larger
    share of the dispatches. ``deadline`` is the longest time for a call in seconds,
    ``retry_share`` the retries allowed per first attempt and ``max_body`` the largest
    request body in bytes.
    """

    workspace: Name
    api_key_sha256: Annotated[
        list[Annotated[str, Field(pattern=SHA256_PATTERN)]], Field(min_length=1)
    ]
    services: Annotated[list[Name], Field(min_length=1)]
    requests_per_second: Annotated[float, Field(gt=0, le=1e6)]
    burst: Annotated[int, Field(ge=1, le=10**6)]
    concurrency: Annotated[int, Field(ge=1, le=10**5)]
    queue: Annotated[int, Field(ge=0, le=10**5)] = 64
    priority: Annotated[int, Field(ge=0, le=9)] = 5
    deadline: Duration = 30.0
    retry_share: Annotated[float, Field(ge=0, le=1)] = 0.1
    max_body: Size = 2**20
    changed_by: str = "unknown"

    @model_validator(mode="after")
    def check_limits(self) -> "Contract":
        """Refuse a burst that is too small for the rate, or a zero deadline."""
        if self.burst < self.requests_per_second / 10:
            raise ValueError(
                "burst is under a tenth of requests_per_second, so the rate can "
                "never be reached; raise burst or lower requests_per_second"
            )
        if self.deadline <= 0:
            raise ValueError('deadline must be above zero, like "30 s"')
        return self


class Route(Document):
    """One route of a service and whether its calls may run more than once.

    A ``path`` that ends with "/*" matches all paths below it. A call of a route that is
    not idempotent needs an Idempotency-Key, unless ``require_key`` is false.
    """

    method: Literal["GET", "POST", "PUT", "PATCH", "DELETE"]
    path: Annotated[str, Field(pattern=r"^/[ -~]*$", max_length=200)]
    idempotent: bool
    require_key: bool = True


class Distribution(Document):
    """How a service's weights are distributed to its instances and loaded.

    ``aim`` is what to minimize: the time until every instance has the weights, or
    the bytes read from the origin. ``origin_copies`` limits how many copies are
    read from the origin. ``serving_share`` is the share of instances that keep
    serving while others load.
    """

    policy: Literal["budgeted", "swarm", "static-tree", "origin-only"] = "budgeted"
    aim: Literal["time-to-n", "origin-bytes"] = "time-to-n"
    origin_copies: Annotated[int, Field(ge=1, le=4)] = 4
    serving_share: Annotated[float, Field(ge=0, lt=1)] = 0.5


class ServiceDocument(Document):
    """A service: upstreams that serve the same calls.

    ``first_byte_timeout`` limits the wait for a response's first byte, and
    ``piece_timeout`` that for each further piece of a stream, in seconds.
    """

    name: Name
    kind: Literal["model", "plain"]
    routing: Literal["affinity", "least-outstanding", "round-robin"] = "affinity"
    first_byte_timeout: Duration = 5.0
    piece_timeout: Duration = 2.0
    routes: Annotated[list[Route], Field(min_length=1)]
    distribution: Distribution = Distribution()
    changed_by: str = "unknown"

    @model_validator(mode="after")
    def check_routes(self) -> "ServiceDocument":
        """Refuse two routes with the same method and path."""
        seen = {(route.method, route.path) for route in self.routes}
        if len(seen) != len(self.routes):
            raise ValueError("two routes share a method and path; remove one")
        return self


class Rollout(Document):
    """The version of a model that every instance of a service must serve."""

    service: Name
    model: Name
    version: Name
    manifest_digest: Annotated[str, Field(pattern=SHA256_PATTERN)]
    changed_by: str = "unknown"


class DocumentFile(Document):
    """The content of one TOML file that ``apply`` reads."""

    contract: list[Contract] = []
    service: list[ServiceDocument] = []

    @model_validator(mode="after")
    def check_names(self) -> "DocumentFile":
        """Refuse a second contract of a workspace or service of a name."""
        _check_unique("workspace", [c.workspace for c in self.contract])
        _check_unique("service", [s.name for s in self.service])
        return self


@dataclass(frozen=True)
class Fault:
    """One error in a file of documents or settings, for operators.

    ``key_path`` locates the error, as in "contract[0].deadline". ``problem`` says
    what is wrong and how to correct it.
    """

    file: str
    key_path: str
    problem: str

    def __str__(self) -> str:
        return f"{self.file}: {self.key_path}: {self.problem}"


@dataclass(frozen=True)
class DocumentKey:
    """The kind and name that identify a stored object."""

    kind: str
    name: str


def _check_unique(label: str, names: list[str]) -> None:
    repeated = sorted({name for name in names if names.count(name) > 1})
    if repeated:
        raise ValueError(f"{label} defined twice: {', '.join(repeated)}; keep one")


def load_toml(path: Path, model: type[BaseModel]) -> Result[Any, list[Fault]]:
    """Return a TOML file's content as a ``model``, or every fault in it."""
    try:
        content = tomllib.loads(path.read_text(encoding="utf-8"))
    except OSError as error:
        return Failure([Fault(str(path), "-", f"cannot be read: {error.strerror}")])
    except (tomllib.TOMLDecodeError, UnicodeDecodeError) as error:
        return Failure([Fault(str(path), "-", f"is not valid TOML: {error}")])
    try:
        return Success(model.model_validate(content))
    except ValidationError as error:
        return Failure(describe_faults(str(path), error))


def describe_faults(file: str, error: ValidationError) -> list[Fault]:
    """Return the faults of a file that failed its validation."""
    return [
        Fault(file, _format_path(detail["loc"]), _format_problem(detail))
        for detail in error.errors()
    ]


def _format_path(location: tuple[int | str, ...]) -> str:
    path = ""
    for part in location:
        path += f"[{part}]" if isinstance(part, int) else f".{part}"
    return path.lstrip(".") or "(whole file)"


def _format_problem(detail: Mapping[str, Any]) -> str:
    if detail["type"] == "extra_forbidden":
        return "unknown key; remove it or correct its name"
    if detail["type"] == "missing":
        return "missing; add this key"
    message = str(detail["msg"]).removeprefix("Value error, ")
    found_value = repr(detail.get("input"))
    if len(found_value) > 60 or found_value in message:
        return message
    return f"{message} (found {found_value})"


#: The class of the documents of each kind.
DOCUMENT_TYPES: dict[str, type[Document]] = {
    CONTRACT_KIND: Contract,
    SERVICE_KIND: ServiceDocument,
    ROLLOUT_KIND: Rollout,
}


class DocumentError(ValueError):
    """A stored document fails its checks or has an unknown kind."""


def encode_document(document: BaseModel) -> bytes:
    """Return the JSON in which a document is stored."""
    return document.model_dump_json().encode()


def decode_document(kind: str, value: bytes) -> Document:
    """Return the document stored as the JSON ``value``.

    Raises `DocumentError` when the kind is unknown or a check fails.
    """
    document_type = DOCUMENT_TYPES.get(kind)
    if document_type is None:
        raise DocumentError(f"unknown kind {kind!r}")
    try:
        content = json.loads(value)
        return document_type.model_validate(content, context={"is_stored": True})
    except (ValueError, ValidationError) as error:
        raise DocumentError(f"{kind}: {error}") from error


def index_documents(file: DocumentFile) -> dict[DocumentKey, Document]:
    """Return the documents of a file by their keys."""
    documents: dict[DocumentKey, Document] = {}
    for contract in file.contract:
        documents[DocumentKey(CONTRACT_KIND, contract.workspace)] = contract
    for service in file.service:
        documents[DocumentKey(SERVICE_KIND, service.name)] = service
    return documents
