package following

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/springstack/springstack/internal/authority"
	"github.com/springstack/springstack/internal/core/protocol"
	"github.com/springstack/springstack/internal/result"
)

// readingIn returns a reading at a position of an era.
func readingIn(era, revision uint64, version protocol.Version, body string) authority.Reading {
	return authority.Reading{
		Code: result.OK, At: authority.Position{Era: era, Revision: revision},
		Document: authority.Document{Version: version, Body: []byte(body)},
	}
}

// TestALaterEraIsFollowedFromItsOwnRevisions checks that a store restored from an older copy is read
// again and watched from its new position, although its revisions are lower: a watch from an old
// revision would miss the changes at revisions that are issued again.
func TestALaterEraIsFollowedFromItsOwnRevisions(t *testing.T) {
	check := is.New(t)
	follower := newFollower()
	follower.HandleReading(time.Minute, readingIn(1, 900, 7, "a"))
	follower.ObserveEra(2)
	check.True(follower.IsStale(authority.Position{Era: 1, Revision: 900}))
	actions := follower.HandleReading(time.Minute, authority.Reading{Code: result.PlatformCompacted})
	check.Equal(kinds(actions), []ActionKind{Read})
	check.Equal(actions[0].Freshness, authority.Lagging)
	actions = follower.HandleReading(time.Minute, readingIn(1, 890, 7, "a")) // from a lagging replica
	check.Equal(kinds(actions), []ActionKind{Read})
	check.Equal(actions[0].Freshness, authority.Linearizable)
	actions = follower.HandleReading(time.Minute, readingIn(2, 885, 8, "b"))
	check.Equal(kinds(actions), []ActionKind{Adopt, Watch})
	check.Equal(actions[1].From, authority.Position{Era: 2, Revision: 885})
}

// TestAWatchAnsweredInALaterEraLeadsToARead guards against missed changes: an answer in a later era
// than that of the watch does not include all changes.
func TestAWatchAnsweredInALaterEraLeadsToARead(t *testing.T) {
	check := is.New(t)
	follower := newFollower()
	follower.HandleReading(time.Minute, readingIn(1, 900, 7, "a"))
	actions := follower.HandleReading(time.Minute, readingIn(2, 905, 0, ""))
	check.Equal(kinds(actions), []ActionKind{Read})
}

// TestALostVersionRewrittenWithOtherContentIsAdopted checks that a version that was lost and rewritten
// with other content replaces the one held, once, and only if it is read from the store.
func TestALostVersionRewrittenWithOtherContentIsAdopted(t *testing.T) {
	check := is.New(t)
	follower := newFollower()
	follower.HandleReading(time.Minute, readingIn(1, 900, 7, "a"))
	check.Equal(kinds(follower.HandlePeerDocument(0, "p", authority.Document{Version: 7, Body: []byte("b")})), nil)
	check.Equal(kinds(follower.HandlePoll(0, readingIn(1, 901, 7, "b"))), nil) // of the era of the adopted document
	check.Equal(kinds(follower.HandlePoll(0, readingIn(2, 880, 6, "z"))), nil) // older than the one held
	check.Equal(kinds(follower.HandlePoll(0, readingIn(2, 885, 7, "b")))[0], Adopt)
	check.Equal(kinds(follower.HandlePoll(0, readingIn(2, 890, 7, "b"))), nil)
}

// TestALaterEraNeverLowersVersionOrWatchPosition checks that no order of store reads, eras and peers'
// replies leads to the adoption of a lower version, or to a watch from a position of an earlier era
// than the newest known.
func TestALaterEraNeverLowersVersionOrWatchPosition(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		follower := newFollower()
		newest, era := protocol.Version(0), uint64(0)
		checkActions := func(actions []Action) {
			for _, action := range actions {
				switch {
				case action.Kind == Adopt && action.Document.Version < newest:
					t.Fatalf("version %d after %d", action.Document.Version, newest)
				case action.Kind == Adopt:
					newest = action.Document.Version
				case action.Kind == Watch && action.From.Era < era:
					t.Fatalf("watch from %s in era %d", action.From, era)
				}
			}
		}
		drawNumber := func(name string, limit int) uint64 { return uint64(rapid.IntRange(0, limit).Draw(t, name)) }
		for range rapid.IntRange(1, 30).Draw(t, "steps") {
			read := readingIn(1+drawNumber("era", 3), drawNumber("revision", 9), protocol.Version(drawNumber("version", 9)), "x")
			switch drawNumber("event", 4) {
			case 0:
				era = max(era, read.At.Era)
				checkActions(follower.HandleReading(0, read))
			case 1:
				era = max(era, read.At.Era)
				checkActions(follower.HandlePoll(0, read))
			case 2:
				era = max(era, read.At.Era)
				follower.ObserveEra(read.At.Era)
			case 3:
				checkActions(follower.HandleReading(0, authority.Reading{Code: result.PlatformCompacted}))
			default:
				checkActions(follower.HandlePeerDocument(0, "p", read.Document))
			}
		}
	})
}
