"""Reports from the daemons' logs and from journal entries of measured runs."""
