"""The adapter to the users' platform: its names, formats and requests.

This package converts the platform's formats into the project's own types, and no
other package uses the platform's names. It makes no decisions.
"""
