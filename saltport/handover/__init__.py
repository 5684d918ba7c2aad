"""Hand-over of connections and learned state from a router process to its successor."""
