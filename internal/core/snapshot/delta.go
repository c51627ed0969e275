package snapshot

import (
	"github.com/samber/lo"

	"github.com/springstack/springstack/internal/core/protocol"
	"github.com/springstack/springstack/internal/core/resource"
	"github.com/springstack/springstack/internal/result"
)

// makeDelta returns the delta between two sets that are sorted by key. With
// version 0 and an empty set before, the delta is a whole snapshot.
func makeDelta(from, to protocol.Version, before, after []resource.Encoded) *protocol.Delta {
	return &protocol.Delta{
		From:    from,
		To:      to,
		Digest:  DigestOf(after),
		Payload: encodeChanges(difference(before, after)),
	}
}

// difference returns the changes between two sets that are sorted by key.
func difference(before, after []resource.Encoded) []change {
	var changes []change
	for len(before) > 0 || len(after) > 0 {
		switch {
		case len(after) == 0 || (len(before) > 0 && before[0].Key.Less(after[0].Key)):
			changes = append(changes, change{key: before[0].Key, removed: true})
			before = before[1:]
		case len(before) == 0 || after[0].Key.Less(before[0].Key):
			changes = append(changes, change{key: after[0].Key, payload: after[0].Payload})
			after = after[1:]
		default:
			if before[0].Digest != after[0].Digest {
				changes = append(changes, change{key: after[0].Key, payload: after[0].Payload})
			}
			before, after = before[1:], after[1:]
		}
	}
	return changes
}

// Apply returns the resources that result from a delta, sorted by key. It applies
// the whole delta or nothing: unless the result has the delta's digest, it fails
// with DigestMismatch. The caller should then request a whole snapshot.
func Apply(current []resource.Encoded, delta *protocol.Delta) ([]resource.Encoded, error) {
	changes, err := decodeChanges(delta.Payload)
	if err != nil {
		return nil, err
	}
	if delta.From == 0 {
		current = nil
	}
	updated := merge(current, changes)
	if DigestOf(updated) != delta.Digest {
		return nil, result.New(result.DigestMismatch, "delta from version %d to %d does not lead to its digest", delta.From, delta.To)
	}
	return updated, nil
}

// merge applies the changes to current, which must be sorted by key. If a key has
// several changes, the last one counts. An unchanged resource costs one lookup.
func merge(current []resource.Encoded, changes []change) []resource.Encoded {
	lastChanges := lo.KeyBy(changes, func(entry change) resource.Key { return entry.key })
	var added []resource.Encoded
	for key, entry := range lastChanges {
		if !entry.removed {
			added = append(added, resource.Encoded{Key: key, Digest: resource.DigestOf(entry.payload), Payload: entry.payload})
		}
	}
	resource.SortEncoded(added)
	merged := make([]resource.Encoded, 0, len(current)+len(added))
	for _, entry := range current {
		if _, changed := lastChanges[entry.Key]; changed {
			continue
		}
		for len(added) > 0 && added[0].Key.Less(entry.Key) {
			merged = append(merged, added[0])
			added = added[1:]
		}
		merged = append(merged, entry)
	}
	return append(merged, added...)
}
