"""The configuration in force: its types, route lookup and freshness."""
