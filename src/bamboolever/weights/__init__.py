"""Decisions on the transfer of weights and on when engines load them."""
