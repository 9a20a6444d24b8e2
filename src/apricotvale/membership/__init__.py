"""Members that announced themselves, and views of them."""
