"""The replicated state behind routes: table, registry, weight versions and jobs."""
