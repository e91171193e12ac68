"""Entry side of the contact with the control hosts."""
