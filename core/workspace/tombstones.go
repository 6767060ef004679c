package workspace

// Tombstones remember the keys that were revoked last, so that they are not taken for
// other credentials. The zero value is not usable; create them with NewTombstones.
type Tombstones struct {
	revoked map[Digest]struct{}
	// order has the keys in the order of their revocation, as a ring from next on.
	order []Digest
	next  int
	limit int
}

// NewTombstones returns tombstones for at most limit keys.
func NewTombstones(limit int) *Tombstones {
	return &Tombstones{revoked: map[Digest]struct{}{}, limit: limit}
}

// Add records the keys of a table that its successor does not have.
func (t *Tombstones) Add(before, after *Table) {
	for k := range before.Keys() {
		if !after.Has(k) {
			t.add(k)
		}
	}
}

func (t *Tombstones) add(k Digest) {
	if _, ok := t.revoked[k]; ok {
		return
	}
	t.revoked[k] = struct{}{}
	if len(t.order) < t.limit {
		t.order = append(t.order, k)
		return
	}
	delete(t.revoked, t.order[t.next])
	t.order[t.next] = k
	t.next = (t.next + 1) % t.limit
}

// Has reports whether a key is remembered as revoked.
func (t *Tombstones) Has(k Digest) bool {
	_, ok := t.revoked[k]
	return ok
}
