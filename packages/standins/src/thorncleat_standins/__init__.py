"""Small stand-ins for the platform's store, model engines and plain services.

They speak the published protocols that the daemon speaks, misbehave on demand, and are run
as processes of their own or inside a test. They are no part of the product.
"""
