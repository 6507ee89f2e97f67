"""The adapter to the users' platform: names, formats and calls, no decisions.

Everything that the platform spells in its own way is decoded here, once, into
the product's types; nothing outside this package knows the platform's names.
"""
