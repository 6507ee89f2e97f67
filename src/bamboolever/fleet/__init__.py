"""What is known of upstreams and of the project's other instances."""
