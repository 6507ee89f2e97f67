"""The daemon processes: entry and agent, with their sockets, timers and watches."""
