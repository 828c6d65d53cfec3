"""Decisions of the program driven by intents (`packages/daemon`); the gateway uses none of them."""
