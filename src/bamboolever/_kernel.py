"""Micro-kernel: named services with an order of start and stop."""

import logging
from abc import ABC, abstractmethod
from typing import TypeVar, final

logger = logging.getLogger(__name__)

ServiceType = TypeVar("ServiceType", bound="Service")


class KernelError(Exception):
    """A service is missing, registered twice, or of another type."""


class Service(ABC):
    """A part of a process that the kernel starts and stops."""

    @property
    @abstractmethod
    def name(self) -> str:
        """Name under which other services find this one."""

    @abstractmethod
    def start(self, kernel: "Kernel") -> None:
        """Start work; services registered earlier are already running."""

    @abstractmethod
    def stop(self) -> None:
        """Stop work and release sockets and threads; safe to call twice."""


@final
class Kernel:
    """Starts services in registration order and stops them in reverse."""

    def __init__(self) -> None:
        self._services: dict[str, Service] = {}
        self._started: list[Service] = []

    def register(self, service: Service) -> None:
        """Add a service.

        Raises `KernelError` when the name is taken.
        """
        if service.name in self._services:
            raise KernelError(f"the service name {service.name!r} is taken")
        self._services[service.name] = service

    def get(self, name: str, expected: type[ServiceType]) -> ServiceType:
        """Return the service with this name.

        Raises `KernelError` when it is unknown or not an ``expected``.
        """
        service = self._services.get(name)
        if service is None:
            known = ", ".join(sorted(self._services)) or "none"
            raise KernelError(f"no service is named {name!r}; known: {known}")
        if not isinstance(service, expected):
            raise KernelError(f"{name!r} is a {type(service).__name__}")
        return service

    def start(self) -> None:
        """Start every service; on a failure stop those already started."""
        try:
            for service in self._services.values():
                service.start(self)
                self._started.append(service)
        except Exception:
            self.stop()
            raise

    def stop(self) -> None:
        """Stop the started services in reverse order."""
        while self._started:
            service = self._started.pop()
            try:
                service.stop()
            except Exception:
                logger.exception("service %s did not stop cleanly", service.name)
