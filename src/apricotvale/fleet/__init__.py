"""The replicated fleet state: route table, upstream registry, weight versions and jobs."""
