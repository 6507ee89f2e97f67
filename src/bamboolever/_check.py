"""Checks files of every kind that the product reads, without using them.

The kind of a file follows from its content, so that one command takes documents,
settings of daemons, deploy files and the platform's settings together.
"""

import json
import tomllib
from enum import Enum
from pathlib import Path
from typing import Any

from pydantic import BaseModel, ValidationError
from returns.result import Failure

from bamboolever._documents import Fault, describe_faults, load_toml
from bamboolever._operator import load_document_files
from bamboolever._settings import AgentSettings, EntrySettings
from bamboolever.platform.deployfile import DeployFile, is_deploy_file
from bamboolever.platform.nodefile import NodeFile, check_settings


class FileKind(Enum):
    """What a file is for."""

    DOCUMENTS = "documents"
    ENTRY = "entry"
    AGENT = "agent"
    DEPLOY = "deploy"
    PLATFORM = "platform"


_MODELS: dict[FileKind, type[BaseModel]] = {
    FileKind.ENTRY: EntrySettings,
    FileKind.AGENT: AgentSettings,
    FileKind.DEPLOY: DeployFile,
}


def detect_kind(path: Path) -> FileKind:
    """Return what a file seems to be for; documents where nothing tells."""
    if path.suffix == ".json":
        return FileKind.PLATFORM
    try:
        content = tomllib.loads(path.read_text(encoding="utf-8"))
    except (OSError, ValueError):
        return FileKind.DOCUMENTS
    if is_deploy_file(content):
        return FileKind.DEPLOY
    if "upstream_url" in content or "origin_url" in content:
        return FileKind.AGENT
    if "instance_id" in content:
        return FileKind.ENTRY
    return FileKind.DOCUMENTS


def check_files(paths: list[Path], kind: FileKind | None = None) -> list[Fault]:
    """Return every fault in all files; ``kind`` None goes by their content."""
    faults: list[Fault] = []
    documents: list[Path] = []
    for path in paths:
        found = kind or detect_kind(path)
        if found is FileKind.DOCUMENTS:
            documents.append(path)
        elif found is FileKind.PLATFORM:
            faults += _check_platform_settings(path)
        else:
            loaded = load_toml(path, _MODELS[found])
            faults += loaded.failure() if isinstance(loaded, Failure) else []
    # Together: a name may be defined in one of them only.
    loaded_documents = load_document_files(documents)
    if isinstance(loaded_documents, Failure):
        faults += loaded_documents.failure()
    return faults


def _check_platform_settings(path: Path) -> list[Fault]:
    try:
        content: Any = json.loads(path.read_bytes())
    except OSError as error:
        return [Fault(str(path), "-", f"cannot be read: {error.strerror}")]
    except ValueError as error:
        return [Fault(str(path), "-", f"is no JSON: {error}")]
    try:
        NodeFile.model_validate(content)
    except ValidationError as error:
        return describe_faults(str(path), error)
    return [Fault(str(path), key, problem) for key, problem in check_settings(content)]
