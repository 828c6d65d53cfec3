"""The control of groups: who controls, which groups there are to be, and the orders for it."""
