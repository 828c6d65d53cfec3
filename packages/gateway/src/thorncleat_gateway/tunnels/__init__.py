"""Connections to endpoints by way of another daemon, for a daemon that reaches none itself."""
