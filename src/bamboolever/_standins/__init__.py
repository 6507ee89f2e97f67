"""Stand-ins for the external systems, for tests, the demo and the benches."""
