"""Validates files of every kind that the system reads, without applying them.

The kind of a file is detected from its name and content, so that one command accepts
documents, settings of daemons, deploy files and settings files of the platform
together.
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
    """The kind of a file, which selects its schema.

    The platform kind is the settings file that the platform writes for a process.
    """

    DOCUMENTS = "documents"
    ENTRY = "entry"
    AGENT = "agent"
    DEPLOY = "deploy"
    PLATFORM = "platform"


_SCHEMAS: dict[FileKind, type[BaseModel]] = {
    FileKind.ENTRY: EntrySettings,
    FileKind.AGENT: AgentSettings,
    FileKind.DEPLOY: DeployFile,
}


def detect_kind(path: Path) -> FileKind:
    """Return the kind of a file by its suffix and top-level keys.

    A file that cannot be read or has no known keys counts as documents, whose check
    then reports the error.
    """
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
    """Return the faults of all files; with ``kind`` None, detect each file's kind."""
    faults: list[Fault] = []
    document_paths: list[Path] = []
    for path in paths:
        found_kind = kind or detect_kind(path)
        if found_kind is FileKind.DOCUMENTS:
            document_paths.append(path)
        elif found_kind is FileKind.PLATFORM:
            faults += _check_platform_settings(path)
        else:
            loaded = load_toml(path, _SCHEMAS[found_kind])
            faults += loaded.failure() if isinstance(loaded, Failure) else []
    # Loaded together, to find documents that more than one file defines.
    loaded_documents = load_document_files(document_paths)
    if isinstance(loaded_documents, Failure):
        faults += loaded_documents.failure()
    return faults


def _check_platform_settings(path: Path) -> list[Fault]:
    try:
        content: Any = json.loads(path.read_bytes())
    except OSError as error:
        return [Fault(str(path), "-", f"cannot be read: {error.strerror}")]
    except ValueError as error:
        return [Fault(str(path), "-", f"is not valid JSON: {error}")]
    try:
        NodeFile.model_validate(content)
    except ValidationError as error:
        return describe_faults(str(path), error)
    return [Fault(str(path), key, problem) for key, problem in check_settings(content)]
