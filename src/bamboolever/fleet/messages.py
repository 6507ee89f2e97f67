"""The messages between entries and agents.

A datagram may be lost, duplicated or delayed. Each therefore carries the sender's
complete state, or names the state from which its changes go on.
"""

from dataclasses import dataclass, field

from bamboolever.calls.engine import EngineLoad
from bamboolever.fleet.echoes import Echo
from bamboolever.net.addresses import Address


@dataclass(frozen=True)
class RolloutAge:
    """A version of a model and the seconds since its rollout started.

    The rollout may have started later. ``age_s`` None means that the start is unknown
    to the sender.
    """

    model: str
    version: int
    age_s: float | None


@dataclass(frozen=True)
class Hello:
    """Sent by an entry to subscribe to an agent's state; the agent responds with it.

    ``cell`` is the entry's own cell and ``agent_cell`` that of the agent, as the entry
    knows it. ``rollouts`` are the newest versions that the entry knows. ``sequence``
    names this hello; ``echo`` is of the agent's last state.
    """

    instance_id: str
    cell: str = ""
    agent_cell: str = ""
    rollouts: tuple[RolloutAge, ...] = ()
    sequence: int = 0
    echo: Echo = Echo()


@dataclass(frozen=True)
class EntryLoad:
    """An entry's load at each upstream where it has requests, by `upstream_key`.

    ``started_ms`` is the Unix time of the entry's start in milliseconds; with
    ``sequence`` it orders the loads of one entry. ``is_ready`` means that the
    entry may serve requests that carry an API key. ``cell`` is the entry's own cell.
    ``leaving`` are the keys of upstreams that told it that they are shutting down.
    ``summary_cell`` is set by an entry of another cell: it asks the receiver for the
    summary of this cell, and ``loads`` are those at the cell's upstreams.
    ``store_revisions`` are the store's revisions, within ``store_era``, at the last
    change that the entry knows of each kind that it watches, or at its listing: a peer
    with a lower revision may lack a change. ``has_lost_store`` means that the entry
    cannot watch the store for others now.
    """

    instance_id: str
    started_ms: int
    sequence: int
    loads: dict[int, EngineLoad]
    is_ready: bool = True
    cell: str = ""
    leaving: tuple[int, ...] = ()
    summary_cell: str = ""
    store_era: int = 0
    store_revisions: tuple[int, ...] = ()
    has_lost_store: bool = False


@dataclass(frozen=True)
class UpstreamSummary:
    """The load and served version of one engine of another cell.

    ``load`` leaves out the receiver's own requests. ``version`` 0 means that the
    engine serves none.
    """

    load: EngineLoad
    model: str
    version: int
    takes_requests: bool


@dataclass(frozen=True)
class CellSummary:
    """The engines of one cell by `upstream_key`, as one of its entries knows them."""

    cell: str
    upstreams: dict[int, UpstreamSummary]


@dataclass(frozen=True)
class StoreUpdate:
    """What a watch of the store returned to the sender.

    ``changes`` is the body of the store's response; None if it does not fit into a
    datagram, empty without changes. The objects up to ``revision`` were current
    ``confirmed_age_s`` before this was sent, or None if that is unknown. The sender has
    had the receiver's load of ``echo_sequence``, from its start at ``echo_started_ms``,
    for ``echo_age_s``.
    """

    kind: str
    era: int
    from_revision: int
    revision: int
    changes: bytes | None
    confirmed_age_s: float | None
    echo_started_ms: int = 0
    echo_sequence: int = 0
    echo_age_s: float = 0.0


@dataclass(frozen=True)
class AgentState:
    """An agent's report on its upstream, with the entries and rollouts it knows.

    ``entries`` are those of the agent's ``cell``; ``active`` is the number of requests
    that the upstream runs or has queued.

    ``model`` and ``version`` name what the upstream serves with all layers; version 0
    means nothing, and None that the agent cannot tell yet. ``is_switching`` means that
    the upstream takes no requests because it changes its version. ``slowdown`` is the
    factor by which it is slower than its profile. ``started_ms`` is the Unix time of
    the upstream's last known start in milliseconds, 0 if none is known; ``is_down``
    means that this process refuses connections. ``sequence`` names this state; ``echo``
    is of the entry's last hello.
    """

    upstream: Address
    is_switching: bool
    version: int | None
    slowdown: float
    entries: tuple[Address, ...]
    rollouts: tuple[RolloutAge, ...] = ()
    model: str = ""
    cell: str = ""
    active: int = 0
    started_ms: int = 0
    is_down: bool = False
    sequence: int = 0
    echo: Echo = Echo()


@dataclass(frozen=True)
class PieceMap:
    """The pieces of a version that an agent has verified.

    Bit N of ``bitmap`` stands for piece N. ``uploads`` is the number of pieces that
    the agent is sending or has queued. ``is_reply_wanted`` asks the receiver for its
    own piece map. ``is_retained`` means that the pieces are left from an earlier
    transfer, so that the agent imports no more of them. ``is_named`` means that the
    agent has heard that the operator named the version; an agent may also transfer one
    that it found at the origin.
    """

    model: str
    version: int
    bitmap: int
    is_reply_wanted: bool = False
    uploads: int = 0
    is_retained: bool = False
    is_named: bool = False


@dataclass(frozen=True)
class ReportedCrash:
    """The digest of a request or a part, and the key of the upstream that it crashed.

    ``age_s`` is the seconds since the request was sent to the upstream. ``tried_parts``
    is how many suspected parts it was a trial of; 0 if it was no trial.
    """

    digest: int
    upstream: int
    age_s: float
    tried_parts: int = 0


@dataclass(frozen=True)
class CrashReport:
    """What an entry knows of requests, and parts of prompts, that crash upstreams.

    ``completed_ages_s`` are the seconds since an upstream completed a request, by
    digest; ``part_completed_ages_s`` the same for parts. ``ended`` are the keys of
    upstreams that refused a connection. ``trials`` are the parts that the sender has on
    trial, ``ended_trials`` those whose trial ended without evidence.
    """

    crashes: tuple[ReportedCrash, ...] = ()
    completed_ages_s: dict[int, float] = field(default_factory=dict)
    ended: tuple[int, ...] = ()
    part_crashes: tuple[ReportedCrash, ...] = ()
    part_completed_ages_s: dict[int, float] = field(default_factory=dict)
    trials: tuple[int, ...] = ()
    ended_trials: tuple[int, ...] = ()


@dataclass(frozen=True)
class Rejections:
    """Rejected requests by digest, with the seconds since each first arrived."""

    ages_s: dict[int, float]


@dataclass(frozen=True)
class NamedLimit:
    """What a response said of the limit of an upstream, by `upstream_key`.

    ``per_s`` is in requests per second, None if it named none. It was stated between
    ``sent_age_s`` and ``received_age_s`` before this was sent.
    """

    upstream: int
    statement_id: int
    per_s: float | None
    sent_age_s: float
    received_age_s: float


@dataclass(frozen=True)
class NamedLimits:
    """The limits that an entry knows."""

    limits: tuple[NamedLimit, ...]


@dataclass(frozen=True)
class PermitRequest:
    """A request for permits to send to an upstream; ``number`` names it."""

    upstream: int
    number: int
    wanted: int


@dataclass(frozen=True)
class PermitRequests:
    """An entry's requests to the keeper of these upstreams' permits."""

    requests: tuple[PermitRequest, ...]


@dataclass(frozen=True)
class PermitGrant:
    """How many permits the request ``number`` gets.

    The next one is due in ``due_s`` seconds; ``step_s`` is the time between two permits
    of the receiver.
    """

    upstream: int
    number: int
    granted: int
    due_s: float
    step_s: float


@dataclass(frozen=True)
class PermitGrants:
    """A keeper's answers to one entry."""

    grants: tuple[PermitGrant, ...]


Message = (
    Hello
    | EntryLoad
    | AgentState
    | PieceMap
    | CrashReport
    | Rejections
    | CellSummary
    | StoreUpdate
    | NamedLimits
    | PermitRequests
    | PermitGrants
)
