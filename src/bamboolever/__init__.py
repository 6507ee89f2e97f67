"""Weight distribution for bursts: coordination parts and thin daemons."""
