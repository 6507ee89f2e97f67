"""Non-blocking HTTP/1.1 over `h11` and datagrams, owned by an `IoTask`."""
