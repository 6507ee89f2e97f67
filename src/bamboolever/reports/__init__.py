"""Reads what the daemons wrote: logs and journal entries."""
