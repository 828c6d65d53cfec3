"""Pure decisions of thorncleat: no input, no output and no clock of their own."""

__version__ = "0.1.0"
