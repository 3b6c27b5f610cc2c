"""Reading JSON files, and merging overlays onto a base file."""

from azureturn.json_files._merge import MERGE_KEY, Json, merge, read_json, read_merged

__all__ = ["MERGE_KEY", "Json", "merge", "read_json", "read_merged"]
