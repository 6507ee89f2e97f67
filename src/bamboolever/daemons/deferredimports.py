"""Defers modules that dependencies import at their start but daemons rarely need.

A deferred module is imported like any other, but its code runs only when one of its
attributes is read. `importlib.util.LazyLoader` cannot be used: up to Python 3.12 its
modules are loaded as soon as they are imported for a second time.
"""

import os
import sys
from _thread import RLock
from collections.abc import Callable, Sequence
from importlib.machinery import ModuleSpec, PathFinder
from types import ModuleType
from typing import TYPE_CHECKING, Any, final

if TYPE_CHECKING:
    from importlib.abc import Loader

# The numbers are MB of an entry's peak memory that a module and its imports take.
DEFERRED_MODULES = frozenset(
    {
        "bz2",  # 0.1 with lzma; by shutil, which argparse imports
        "concurrent.futures",  # 0.1; by opentelemetry.sdk.resources
        "ctypes",  # 0.3; by exponential histograms, which no metric uses
        "importlib.metadata",  # 1.8; by the search for plugins of pydantic
        "lzma",
        "pickle",  # 0.3; by logging.handlers
        "subprocess",  # 0.3; by opentelemetry.sdk.resources
        "sysconfig",  # 0.2; by zoneinfo, which pydantic imports
    }
)
# Functions and classes that dependencies import by name and use only by calling them.
# They are replaced by functions that load the module.
_CALLABLES = {
    "ctypes": ("c_double", "c_uint64"),
    "importlib.metadata": ("entry_points",),
}
# The built-in implementations that `hashlib` uses without OpenSSL.
_HASH_MODULES = ("_blake2", "_md5", "_sha1", "_sha256", "_sha3", "_sha512")


def install() -> None:
    """Defer modules and avoid OpenSSL; call it before other modules are imported.

    OpenSSL takes 3.4 MB. Without it, `hashlib` takes 0.31 ms instead of 0.03 ms for the
    SHA-256 digest of a piece of 24 KB.
    """
    sys.meta_path.insert(0, _DeferringFinder())
    if all(_is_available(name) for name in _HASH_MODULES):
        sys.modules.setdefault("_hashlib", None)  # type: ignore[arg-type]
    # The search for plugins reads the metadata of all installed distributions.
    os.environ.setdefault("PYDANTIC_DISABLE_PLUGINS", "__all__")
    # Otherwise `zoneinfo`, which no daemon uses, asks `sysconfig` for this path.
    os.environ.setdefault("PYTHONTZPATH", "/usr/share/zoneinfo")


def is_loaded(module: ModuleType) -> bool:
    """Return whether the code of a module that may be deferred has run."""
    return "_deferred_loader" not in module.__dict__


def _is_available(name: str) -> bool:
    if name in sys.builtin_module_names:
        return True
    return PathFinder.find_spec(name) is not None


@final
class _DeferringFinder:
    def find_spec(
        self,
        fullname: str,
        path: Sequence[str] | None,
        target: ModuleType | None = None,
    ) -> ModuleSpec | None:
        if fullname not in DEFERRED_MODULES:
            return None
        spec = PathFinder.find_spec(fullname, path, target)
        if spec is not None and spec.loader is not None:
            spec.loader = _DeferringLoader(spec.loader)  # type: ignore[assignment]
        return spec


@final
class _DeferringLoader:
    def __init__(self, loader: "Loader"):
        self._loader = loader

    def create_module(self, spec: ModuleSpec) -> ModuleType:
        return _DeferredModule(spec.name)

    def exec_module(self, module: ModuleType) -> None:
        assert isinstance(module, _DeferredModule)
        module.defer(self._loader)


class _DeferredModule(ModuleType):
    """A module that is loaded when an attribute is read that it does not have yet."""

    def defer(self, loader: "Loader") -> None:
        attributes = self.__dict__
        attributes["_deferred_loader"] = loader
        attributes["_deferred_lock"] = RLock()
        for name in _CALLABLES.get(self.__name__, ()):
            attributes[name] = self._make_function(name)

    def load(self) -> None:
        with self._deferred_lock:
            loader = self.__dict__.pop("_deferred_loader", None)
            if loader is None:
                # Loaded by another thread, or being loaded by this one.
                return
            if self.__spec__ is not None:
                self.__spec__.loader = self.__loader__ = loader
            loader.exec_module(self)
            self.__class__ = ModuleType  # type: ignore[assignment]

    def _make_function(self, name: str) -> Callable[..., Any]:
        def call(*arguments: Any, **options: Any) -> Any:
            self.load()
            return self.__dict__[name](*arguments, **options)

        return call

    def __getattr__(self, name: str) -> Any:
        is_special = name.startswith("__") and name.endswith("__")
        if "_deferred_loader" not in self.__dict__ or is_special:
            raise AttributeError(f"module {self.__name__!r} has no attribute {name!r}")
        self.load()
        return getattr(self, name)
