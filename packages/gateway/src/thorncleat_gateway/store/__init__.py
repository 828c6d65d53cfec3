"""What is known from the platform's store, and how it gets here."""
