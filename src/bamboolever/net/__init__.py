"""Non-blocking HTTP/1.1 and UDP sockets that run on the thread of an `IoTask`."""
