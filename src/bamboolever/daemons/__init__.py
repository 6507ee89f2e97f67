"""The shells that own sockets: entry and agent."""
