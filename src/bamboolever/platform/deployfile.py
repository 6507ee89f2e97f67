"""The deploy file: how the platform builds and runs the daemons."""

import re
from typing import Annotated, Any

from pydantic import BaseModel, ConfigDict, Field, model_validator

MACHINE_CLASSES = ("frontend", "side")
CALLER_KINDS = ("frontend", "side", "control_plane")
METRICS_PATTERN = r"^\d{1,5}/\S*$"
# Names that the platform or a runtime reads.
RESERVED_VARIABLE = re.compile(r"^(PATH|HOME|(LD_|JAVA|NODE_|PYTHON).*)$")
VARIABLE = re.compile(r"^[A-Z0-9_]+$")


class _Checked(BaseModel):
    model_config = ConfigDict(extra="forbid", frozen=True)


class _Role(_Checked):
    run: Annotated[str, Field(min_length=1)]
    on: str
    serves: list[str] = []
    share: Annotated[float, Field(gt=0, le=1)] | None = None
    count: Annotated[int, Field(ge=1)] | None = None
    apart: bool = False
    metrics: Annotated[str, Field(pattern=METRICS_PATTERN)] | None = None
    template: str | None = None
    env: dict[str, str] = {}

    @model_validator(mode="after")
    def check_words(self) -> "_Role":
        """Refuse classes, callers and variables that the platform does not know."""
        if self.on not in MACHINE_CLASSES:
            raise ValueError(f"on: use one of {', '.join(MACHINE_CLASSES)}")
        unknown = sorted(set(self.serves) - set(CALLER_KINDS))
        if unknown:
            raise ValueError(f"serves: use some of {', '.join(CALLER_KINDS)}")
        if self.share is not None and self.count is not None:
            raise ValueError("share and count exclude each other; keep one")
        for name in self.env:
            if not VARIABLE.match(name) or RESERVED_VARIABLE.match(name):
                raise ValueError(f"env: {name} cannot be set; use another name")
        return self


class DeployFile(_Checked):
    """The roles by name and the command that builds them."""

    build: Annotated[str, Field(min_length=1)]
    roles: Annotated[dict[str, _Role], Field(min_length=1)]

    @model_validator(mode="after")
    def check_callers(self) -> "DeployFile":
        """Refuse two roles of one class that serve the same callers."""
        seen: dict[tuple[str, str], str] = {}
        for name, role in self.roles.items():
            for served in role.serves:
                other = seen.setdefault((role.on, served), name)
                if other != name:
                    raise ValueError(
                        f"roles {other} and {name} both serve {served} on "
                        f"{role.on}; keep one"
                    )
        return self


def is_deploy_file(content: dict[str, Any]) -> bool:
    """Tell whether the content of a TOML file is meant as a deploy file."""
    return "roles" in content or "build" in content
