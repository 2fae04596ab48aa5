"""What all TCP parts share: streams of lines, the limit on descriptors, and logs of what comes often."""
