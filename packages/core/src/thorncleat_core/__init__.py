"""Code that both programs of thorncleat share: encodings, clocks, logs and pure decisions."""

__version__ = "0.1.0"
