"""Starts the services of a process in order and stops them in reverse."""

import logging
from abc import ABC, abstractmethod
from typing import TypeVar, final

logger = logging.getLogger(__name__)

ServiceType = TypeVar("ServiceType", bound="Service")


class KernelError(Exception):
    """A service is not registered, registered twice or of another type."""


class Service(ABC):
    """A part of a process, such as an HTTP server, that the kernel runs."""

    @property
    @abstractmethod
    def name(self) -> str:
        """Name under which the service is registered."""

    @abstractmethod
    def start(self, kernel: "Kernel") -> None:
        """Start the service; those registered before it are already running.

        ``kernel`` gives access to the other services.
        """

    @abstractmethod
    def stop(self) -> None:
        """Stop the service and release its sockets and threads.

        A second call must do nothing.
        """


@final
class Kernel:
    """Starts services in the order of registration and stops them in reverse."""

    def __init__(self) -> None:
        self._services: dict[str, Service] = {}
        self._started: list[Service] = []

    def register(self, service: Service) -> None:
        """Add a service to be started.

        Raises `KernelError` when its name is taken.
        """
        if service.name in self._services:
            raise KernelError(f"the service name {service.name!r} is taken")
        self._services[service.name] = service

    def get(self, name: str, expected: type[ServiceType]) -> ServiceType:
        """Return the service with this name.

        Raises `KernelError` when it is unknown or not of the type ``expected``.
        """
        service = self._services.get(name)
        if service is None:
            known = ", ".join(sorted(self._services)) or "none"
            raise KernelError(f"no service is named {name!r}; known: {known}")
        if not isinstance(service, expected):
            raise KernelError(f"the service {name!r} is a {type(service).__name__}")
        return service

    def start(self) -> None:
        """Start every service.

        If one fails to start, stop those already started and raise its error.
        """
        try:
            for service in self._services.values():
                service.start(self)
                self._started.append(service)
        except Exception:
            self.stop()
            raise

    def stop(self) -> None:
        """Stop the started services in reverse order; errors are logged."""
        while self._started:
            service = self._started.pop()
            try:
                service.stop()
            except Exception:
                logger.exception("error while stopping service %s", service.name)
