"""Schema of the deploy file, from which the platform builds and runs the daemons."""

import re
from typing import Annotated, Any

from pydantic import BaseModel, ConfigDict, Field, model_validator

MACHINE_CLASSES = ("frontend", "side")
CALLER_KINDS = ("frontend", "side", "control_plane")
METRICS_PATTERN = r"^\d{1,5}/\S*$"
# Variables that the platform or a language runtime reads.
RESERVED_NAME = re.compile(r"^(PATH|HOME|(LD_|JAVA|NODE_|PYTHON).*)$")
VARIABLE_NAME = re.compile(r"^[A-Z0-9_]+$")


class _StrictModel(BaseModel):
    model_config = ConfigDict(extra="forbid", frozen=True)


class _Role(_StrictModel):
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
    def check_values(self) -> "_Role":
        """Check the machine class, kinds of callers, counts and environment variables.

        Raises `ValueError` for those that the platform does not accept.
        """
        if self.on not in MACHINE_CLASSES:
            raise ValueError(f"on: use one of {', '.join(MACHINE_CLASSES)}")
        unknown = sorted(set(self.serves) - set(CALLER_KINDS))
        if unknown:
            raise ValueError(f"serves: use some of {', '.join(CALLER_KINDS)}")
        if self.share is not None and self.count is not None:
            raise ValueError("share and count exclude each other; keep one")
        for name in self.env:
            if not VARIABLE_NAME.match(name) or RESERVED_NAME.match(name):
                raise ValueError(f"env: {name} cannot be set; use another name")
        return self


class DeployFile(_StrictModel):
    """The build command and the roles by name."""

    build: Annotated[str, Field(min_length=1)]
    roles: Annotated[dict[str, _Role], Field(min_length=1)]

    @model_validator(mode="after")
    def check_callers(self) -> "DeployFile":
        """Check that each machine class has at most one role per kind of caller.

        Raises `ValueError` when two roles of a class serve the same kind.
        """
        role_by_caller: dict[tuple[str, str], str] = {}
        for name, role in self.roles.items():
            for caller in role.serves:
                other_role = role_by_caller.setdefault((role.on, caller), name)
                if other_role != name:
                    raise ValueError(
                        f"roles {other_role} and {name} both serve {caller} on "
                        f"{role.on}; keep one"
                    )
        return self


def is_deploy_file(content: dict[str, Any]) -> bool:
    """Return whether the content of a TOML file is meant as a deploy file."""
    return "roles" in content or "build" in content
