#!/usr/bin/env python3
"""Prints the example table. The API key of a workspace is "key-" followed by its name."""
import hashlib

HEADER = ("workspace,version,state,weight,requests_per_second,cost_micros,quality_target,"
          "priority,calls,key_sha256,row_version")
ROWS = [
    ("mill-rhine", "husk-small@1", 100, 500, 200, 0.8, 2, "completion"),
    ("mill-rhine", "husk-medium@1", 100, 500, 900, 0.8, 2, "completion"),
    ("mill-rhine", "husk-large@1", 100, 500, 4000, 0.8, 2, "completion"),
    ("mill-rhine", "status@1", 100, 500, 1, 0.8, 0, "idempotent"),
    ("mill-rhine", "dispatch@1", 100, 500, 10, 0.8, 0, "at_most_once"),
    ("skerry-kayak", "husk-large@1", 100, 500, 4000, 0.85, 1, "completion"),
    ("skerry-kayak", "status@1", 100, 500, 1, 0.85, 0, "idempotent"),
]
print(HEADER)
for workspace, version, weight, limit, cost, target, priority, calls in ROWS:
    key = hashlib.sha256(f"key-{workspace}".encode()).hexdigest()
    print(f"{workspace},{version},active,{weight},{limit},{cost},{target},{priority},{calls},{key},0")
