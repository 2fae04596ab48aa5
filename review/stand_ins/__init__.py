"""Stand-ins of tile servers, discovery, clients and the platform, for the cases of the review."""
