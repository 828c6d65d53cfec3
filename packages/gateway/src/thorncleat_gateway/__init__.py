"""Gateway that forwards requests and controls groups, with its state in the platform's store."""
