"""Non-blocking HTTP/1.1 and UDP; callbacks run on the thread of an `IoTask`."""
