"""Pure decisions of ``thorncleatd``, without input, output or a clock of their own."""
