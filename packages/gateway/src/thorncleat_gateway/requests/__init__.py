"""Request handling: admission, endpoint selection, forwarding, retries and quarantine."""
