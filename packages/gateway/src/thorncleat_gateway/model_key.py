"""The key of what a daemon keeps for each model.

Owns: nothing.
Relies on: nothing.
"""

# Service and model.
ModelKey = tuple[str, str]

# Takes the place of the model in what is kept of a plain service.
NO_MODEL = ""
