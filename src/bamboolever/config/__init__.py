"""The configuration: its types, route lookup, freshness, and the store's watches."""
