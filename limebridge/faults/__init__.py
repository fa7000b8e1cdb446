"""Several processes of the program, and what breaks between them."""
