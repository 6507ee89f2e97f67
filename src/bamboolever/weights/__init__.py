"""Moves the pieces of weights and has engines load them."""
