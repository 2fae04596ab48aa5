"""The platform's frontend: lines of text over TCP. A module for each stage of a request."""
