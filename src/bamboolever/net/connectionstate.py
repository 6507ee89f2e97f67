"""What is unfinished on an accepted connection, for logs."""

from dataclasses import dataclass


@dataclass(frozen=True)
class ConnectionState:
    """What is unfinished on a connection.

    ``received_bytes`` belong to a request that is not complete or not looked at yet,
    ``unsent_bytes`` to responses that the socket does not take yet.
    ``undelivered_bytes`` were sent, and the caller has not acknowledged them; None if
    that is unknown. ``caller_port`` identifies the connection in a packet capture.
    """

    caller_port: int | None
    is_request_begun: bool
    is_response_due: bool
    is_head_sent: bool
    received_bytes: int
    unsent_bytes: int
    undelivered_bytes: int | None

    @property
    def is_finished(self) -> bool:
        """Whether nothing is lost if the connection ends now."""
        return not (
            self.is_request_begun
            or self.is_response_due
            or self.unsent_bytes
            or self.undelivered_bytes
        )
