"""The request path and the control of groups, where the platform's store keeps all state."""
