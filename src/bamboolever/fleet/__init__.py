"""State of the upstreams and of the other entries and agents."""
