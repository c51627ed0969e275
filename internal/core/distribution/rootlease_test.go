package distribution_test

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/springstack/springstack/internal/core/distribution"
	"github.com/springstack/springstack/internal/core/protocol"
	_ "github.com/springstack/springstack/internal/fixedseed"
)

// TestNoGrantBelowAStoredVersion lets a stale root query keepers at drawn times while a
// newer version is being stored. Grants for the older version never extend beyond one
// lease after the newer one is stored at a write quorum.
func TestNoGrantBelowAStoredVersion(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		size := rapid.IntRange(1, 8).Draw(t, "size")
		write := rapid.IntRange(size/2+1, size).Draw(t, "write")
		ids := make([]protocol.NodeID, size)
		for index := range ids {
			ids[index] = protocol.NodeID(fmt.Sprint("keeper-", index))
		}
		set := keepers(write, ids...)
		stored := make([]protocol.Version, size)
		root := distribution.NewRootLease(lease)
		var quorumAt time.Duration
		storedAtQuorum := false
		now := time.Duration(0)
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			now += time.Duration(rapid.IntRange(1, 3000).Draw(t, "pass")) * time.Millisecond
			keeper := rapid.IntRange(0, size-1).Draw(t, "keeper")
			if rapid.Bool().Draw(t, "store") {
				stored[keeper] = 2
			} else {
				root.RecordReply(ids[keeper], now, &protocol.StoreReply{Stored: max(1, stored[keeper])})
			}
			storing := 0
			for _, version := range stored {
				if version == 2 {
					storing++
				}
			}
			if !storedAtQuorum && storing >= write {
				storedAtQuorum, quorumAt = true, now
			}
			until := root.GrantUntil(1, set)
			if storedAtQuorum && until > quorumAt+lease {
				t.Fatalf("grant for version 1 until %v, version 2 stored at %v", until, quorumAt)
			}
		}
	})
}
