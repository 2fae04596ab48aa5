"""The frontends: each speaks one protocol with clients and servers, all on one engine and its rules."""
