"""The way of a request: from a caller to an endpoint and back."""
