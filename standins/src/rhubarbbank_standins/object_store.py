"""The objects behind the object API, without HTTP.

The store has one revision that grows by one with each change; an object's
version is the revision of its last change, so versions grow and are never
used again. The change log lists the changed key of every revision, which
makes a look for changes after a revision a look at the log's tail.
"""

import base64
import dataclasses


@dataclasses.dataclass(slots=True)
class StoredValue:
    """One object's version and bytes."""

    version: int
    value: bytes


class ObjectStore:
    """Objects by key, with the log of their changes."""

    def __init__(self) -> None:
        self.objects: dict[str, StoredValue] = {}
        self.deleted_at: dict[str, int] = {}
        self.changed_keys: list[str] = []

    @property
    def revision(self) -> int:
        """The store's revision: how many changes there were."""
        return len(self.changed_keys)

    def get(self, key: str) -> StoredValue | None:
        """Returns an object as it stands, or None."""
        return self.objects.get(key)

    def put(self, key: str, value: bytes) -> StoredValue:
        """Writes one object and returns it with its new version."""
        self.changed_keys.append(key)
        stored = StoredValue(version=self.revision, value=value)
        self.objects[key] = stored
        self.deleted_at.pop(key, None)
        return stored

    def delete(self, key: str) -> bool:
        """Removes one object and tells whether there was one."""
        if self.objects.pop(key, None) is None:
            return False
        self.changed_keys.append(key)
        self.deleted_at[key] = self.revision
        return True

    def list_keys(self, prefix: str) -> list[str]:
        """Returns the keys under a prefix, sorted."""
        return sorted(key for key in self.objects if key.startswith(prefix))

    def list_changes(self, prefix: str, after: int) -> list[str]:
        """Returns the keys under a prefix changed after a revision."""
        tail = set(self.changed_keys[after:])
        return sorted(key for key in tail if key.startswith(prefix))

    def describe(self, keys: list[str]) -> list[dict[str, str | int | bool]]:
        """Returns objects as the API lists them; deleted ones say so."""
        entries: list[dict[str, str | int | bool]] = []
        for key in keys:
            stored = self.objects.get(key)
            if stored is None:
                version = self.deleted_at[key]
                entries.append(
                    {"key": key, "version": version, "deleted": True}
                )
                continue
            value = base64.b64encode(stored.value).decode()
            entries.append(
                {"key": key, "version": stored.version, "value": value}
            )
        return entries
