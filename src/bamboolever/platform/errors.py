"""Errors of the platform adapter."""


class AdapterError(Exception):
    """Raised when data from the platform is missing or cannot be decoded."""
