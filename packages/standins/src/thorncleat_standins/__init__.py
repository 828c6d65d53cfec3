"""Stand-ins for the platform's store, workers, model engines and plain services.

They serve the published protocols and inject faults on demand, in processes of their own or
inside a test. They are not part of the product.
"""
