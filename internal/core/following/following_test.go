package following

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/springstack/springstack/internal/authority"
	"github.com/springstack/springstack/internal/core/protocol"
	"github.com/springstack/springstack/internal/result"

	_ "github.com/springstack/springstack/internal/fixedseed"
)

func newFollower() *Follower { return New(DefaultConfig(), func() uint64 { return 0 }) }

func at(revision uint64) authority.Position { return authority.Position{Revision: revision} }

func reading(version protocol.Version, revision uint64) authority.Reading {
	return authority.Reading{Code: result.OK, At: at(revision), Document: authority.Document{Version: version}}
}

func kinds(actions []Action) []ActionKind {
	var found []ActionKind
	for _, action := range actions {
		found = append(found, action.Kind)
	}
	return found
}

func TestWatchStartsAtThePositionOfTheFirstRead(t *testing.T) {
	check := is.New(t)
	follower := newFollower()
	check.Equal(kinds(follower.Start()), []ActionKind{Read})
	actions := follower.HandleReading(time.Minute, reading(7, 40))
	check.Equal(kinds(actions), []ActionKind{Adopt, Watch})
	check.Equal(actions[0].Document.Version, protocol.Version(7))
	check.Equal(actions[1].From, at(40))
	check.Equal(actions[1].After, time.Duration(0))
}

func TestWatchesStartAtLeastPaceApart(t *testing.T) {
	check := is.New(t)
	follower := newFollower()
	follower.HandleReading(time.Minute, reading(1, 1))
	actions := follower.HandleReading(time.Minute+10*time.Millisecond, reading(2, 2))
	check.Equal(kinds(actions), []ActionKind{Adopt, Watch})
	check.Equal(actions[1].After, DefaultConfig().Pace-10*time.Millisecond)
}

func TestACompactedHistoryIsReadAgainAtOnce(t *testing.T) {
	check := is.New(t)
	follower := newFollower()
	follower.HandleReading(0, reading(5, 5))
	actions := follower.HandleReading(0, authority.Reading{Code: result.PlatformCompacted})
	check.Equal(kinds(actions), []ActionKind{Read})
	check.Equal(kinds(follower.HandleReading(time.Minute, reading(3, 9))), []ActionKind{Watch}) // a lower version is not adopted
	check.Equal(follower.Version(), protocol.Version(5))
}

func TestFailedReadsAreRetriedWithinTheMaximumDelay(t *testing.T) {
	check := is.New(t)
	follower := New(DefaultConfig(), func() uint64 { return 1 << 40 })
	for range 20 {
		actions := follower.HandleReading(0, authority.Reading{Code: result.PlatformUnavailable})
		check.Equal(kinds(actions), []ActionKind{Read})
		check.True(actions[0].After > 0)
		check.True(actions[0].After <= DefaultConfig().Retry.Maximum+DefaultConfig().Retry.Minimum)
		check.True(!follower.IsStoreAvailable())
	}
}

func TestANewerVersionIsFetchedFromAPeerOnce(t *testing.T) {
	check := is.New(t)
	follower := newFollower()
	follower.HandleReading(0, reading(5, 5))
	check.Equal(kinds(follower.HandlePeerVersion(0, "p", 5)), nil)
	check.Equal(kinds(follower.HandlePeerVersion(0, "p", 6)), []ActionKind{FetchFromPeer})
	check.Equal(kinds(follower.HandlePeerVersion(0, "p", 6)), nil)
	check.Equal(kinds(follower.HandlePeerDocument(0, "p", authority.Document{Version: 6})), []ActionKind{Adopt, Rewatch})
	check.Equal(kinds(follower.HandlePeerVersion(0, "p", 7)), []ActionKind{FetchFromPeer})
	check.Equal(kinds(follower.HandlePeerDocument(0, "p", authority.Document{})), nil)
}

func TestAPollFindsAVersionThatTheWatchMissed(t *testing.T) {
	check := is.New(t)
	follower := newFollower()
	follower.HandleReading(0, reading(5, 5))
	check.Equal(kinds(follower.HandlePoll(0, reading(5, 9))), nil)
	check.Equal(kinds(follower.HandlePoll(0, authority.Reading{Code: result.PlatformUnavailable})), nil)
	check.Equal(kinds(follower.HandlePoll(0, reading(6, 9))), []ActionKind{Adopt, Rewatch})
	check.True(!follower.IsNewer(6))
	check.True(follower.IsNewer(7))
}

func TestPeerDocumentsAreFetchedWithoutDelayOnlyIfTheStoreIsUnavailable(t *testing.T) {
	check := is.New(t)
	follower := newFollower()
	check.Equal(follower.HandlePeerVersion(0, "p", 5)[0].After, time.Duration(0)) // the store has not been read yet
	follower.HandleReading(0, reading(5, 5))
	check.Equal(follower.HandlePeerVersion(time.Minute, "q", 6)[0].After, DefaultConfig().PeerGrace)
	follower.HandleReading(0, authority.Reading{Code: result.PlatformUnavailable})
	check.Equal(follower.HandlePeerVersion(time.Minute, "r", 6)[0].After, time.Duration(0))
}

func TestALaggingWatchDoesNotLowerVersionOrPosition(t *testing.T) {
	check := is.New(t)
	follower := newFollower()
	follower.HandleReading(0, reading(7, 40))
	actions := follower.HandleReading(time.Minute, reading(6, 35))
	check.Equal(kinds(actions), []ActionKind{Watch})
	check.Equal(actions[0].From, at(40)) // changes already read are not watched again
	check.Equal(follower.Version(), protocol.Version(7))
	check.Equal(follower.HandleReading(2*time.Minute, reading(8, 41))[1].From, at(41))
}

// TestVersionsNeverGoBack checks that no order of store reads and peers' replies leads to the
// adoption of a lower version.
func TestVersionsNeverGoBack(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		follower := newFollower()
		newest := protocol.Version(0)
		checkActions := func(actions []Action) {
			for _, action := range actions {
				if action.Kind != Adopt {
					continue
				}
				if action.Document.Version <= newest {
					t.Fatalf("version %d after %d", action.Document.Version, newest)
				}
				newest = action.Document.Version
			}
		}
		for range rapid.IntRange(1, 30).Draw(t, "steps") {
			version := protocol.Version(rapid.IntRange(0, 9).Draw(t, "version"))
			switch rapid.IntRange(0, 2).Draw(t, "event") {
			case 0:
				checkActions(follower.HandleReading(0, reading(version, 1)))
			case 1:
				checkActions(follower.HandlePeerVersion(0, "p", version))
			default:
				checkActions(follower.HandlePeerDocument(0, "p", authority.Document{Version: version}))
			}
		}
	})
}

func TestABurstOfVersionsIsFetchedFromPeersAtThePace(t *testing.T) {
	check := is.New(t)
	follower := newFollower()
	follower.HandleReading(time.Minute, reading(5, 5))
	soon := time.Minute + 100*time.Millisecond
	check.Equal(follower.HandlePeerVersion(soon, "p", 6)[0].After, DefaultConfig().Pace-100*time.Millisecond)
	lateTime := time.Minute + 2*DefaultConfig().Pace
	check.Equal(follower.HandlePeerVersion(lateTime, "q", 6)[0].After, DefaultConfig().PeerGrace)
}

func TestPaceIsAQuarterOfTheApplyTime(t *testing.T) {
	check := is.New(t)
	check.Equal(DefaultConfig().Pace, 500*time.Millisecond)
	check.Equal(ConfigForApplyTime(3*time.Second).Pace, 750*time.Millisecond)
}

// TestAWatchThatMissesAVersionIsRestarted checks that a watch is restarted over a new connection,
// once, if it does not report a version found by a poll.
func TestAWatchThatMissesAVersionIsRestarted(t *testing.T) {
	check := is.New(t)
	follower := newFollower()
	first := follower.HandleReading(time.Minute, reading(5, 5))[1]
	missed := follower.HandlePoll(time.Minute, reading(6, 9))[1]
	check.Equal(missed.Kind, Rewatch)
	check.Equal(missed.Turn, first.Turn)
	check.Equal(missed.After, DefaultConfig().Pace)
	check.True(follower.IsWatchPending(missed.Turn))
	second := follower.HandleReading(time.Minute, reading(6, 9))[0]
	check.True(!follower.IsWatchPending(missed.Turn)) // the store has answered the first watch
	check.True(follower.IsWatchPending(second.Turn))
	follower.HandleReading(time.Minute, authority.Reading{Code: result.PlatformUnavailable})
	check.True(!follower.IsWatchPending(second.Turn))
	check.Equal(kinds(follower.HandlePoll(time.Minute, reading(7, 12))), []ActionKind{Adopt}) // no watch is pending
}
