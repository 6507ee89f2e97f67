"""The base of the models of the platform's documents.

A process decodes only some kinds of documents. Validators are built at their first
use, since each takes memory, and a nested model needs none of its own.
"""

import threading
from typing import Any, TypeVar

from pydantic import BaseModel, ConfigDict

_build_lock = threading.Lock()


class DeferredModel(BaseModel):
    """A model whose validator is built by `validate`."""

    model_config = ConfigDict(extra="ignore", frozen=True, defer_build=True)


_Model = TypeVar("_Model", bound=DeferredModel)


def validate(model: type[_Model], document: Any) -> _Model:
    """Return the model of a document; may be called on any thread.

    Raises `pydantic.ValidationError` when fields are missing or of another type.
    """
    if not model.__pydantic_complete__:
        # Pydantic removes the attributes of a model while it builds its validator.
        with _build_lock:
            model.model_rebuild()
    return model.model_validate(document)
