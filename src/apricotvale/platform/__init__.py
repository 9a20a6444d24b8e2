"""Translation between the users' platform and the product; nothing here decides."""
