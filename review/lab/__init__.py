"""Stand-ins and processes for the scripts of the review; only the standard library is used."""
