package dissemination

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/springstack/springstack/internal/core/protocol"

	_ "github.com/springstack/springstack/internal/fixedseed"
)

// sizes are the mesh sizes under test.
var sizes = []struct{ daemons, zones int }{{13, 4}, {74, 4}, {295, 6}, {295, 7}, {1000, 8}}

// noneUnreachable reports all daemons as reachable.
func noneUnreachable(protocol.NodeID) bool { return false }

// meshOf returns a number of daemons, distributed evenly over zones.
func meshOf(daemons, zones int) []Peer {
	peers := make([]Peer, daemons)
	for index := range peers {
		id := fmt.Sprintf("d%04d", index)
		peers[index] = Peer{ID: protocol.NodeID(id), Address: id, Zone: fmt.Sprintf("z%d", index%zones), Relays: true}
	}
	return peers
}

// directoryOf returns the directory of one of the daemons.
func directoryOf(peers []Peer, self int) *Directory {
	others := make([]Peer, 0, len(peers))
	for index, peer := range peers {
		if index != self {
			others = append(others, peer)
		}
	}
	return NewDirectory(Self{ID: peers[self].ID, Zone: peers[self].Zone, CapacityClass: peers[self].CapacityClass}, others)
}

// broadcast simulates a broadcast along its tree. It counts the messages that each daemon
// receives, raises maxBranches to the largest number that one daemon sends, and returns the
// number of steps to the last daemon.
func broadcast(targets []Peer, received map[protocol.NodeID]int, maxBranches *int) int {
	steps := 0
	branches := Branches(targets)
	*maxBranches = max(*maxBranches, len(branches))
	for _, branch := range branches {
		received[branch[0].ID]++
		steps = max(steps, 1+broadcast(branch[1:], received, maxBranches))
	}
	return steps
}

func TestBroadcastReachesEachDaemonOfAZoneOnceInFewSteps(t *testing.T) {
	for _, size := range sizes {
		check := is.New(t)
		peers := meshOf(size.daemons, size.zones)
		received := map[protocol.NodeID]int{}
		maxBranches := 0
		targets := directoryOf(peers, 0).PeersInOwnZone()
		steps := broadcast(targets, received, &maxBranches)
		check.Equal(len(received), len(targets))
		for _, count := range received {
			check.Equal(count, 1)
		}
		check.True(maxBranches <= Fanout)
		check.True(steps <= 3) // up to 125 daemons per zone
	}
}

func TestDaemonsAgreeOnTheRelayOfEachZone(t *testing.T) {
	for _, size := range sizes {
		check := is.New(t)
		peers := meshOf(size.daemons, size.zones)
		relays := map[string]int{}
		chosen := map[string]map[protocol.NodeID]bool{}
		for index, peer := range peers {
			directory := directoryOf(peers, index)
			if directory.IsRelay(noneUnreachable) {
				relays[peer.Zone]++
				continue
			}
			if chosen[peer.Zone] == nil {
				chosen[peer.Zone] = map[protocol.NodeID]bool{}
			}
			chosen[peer.Zone][directory.Relays(peer.Zone, noneUnreachable)[0].ID] = true
		}
		for zone := range size.zones {
			check.Equal(relays[fmt.Sprintf("z%d", zone)], 1)
			check.Equal(len(chosen[fmt.Sprintf("z%d", zone)]), 1)
		}
	}
}

func TestUnreachableOrLeavingDaemonIsNoRelay(t *testing.T) {
	check := is.New(t)
	peers := meshOf(12, 1)
	directory := directoryOf(peers, 0)
	first := directory.Relays("z0", noneUnreachable)
	isUnreachable := func(id protocol.NodeID) bool { return id == first[0].ID }
	check.Equal(directory.Relays("z0", isUnreachable), first[1:])
	for index := range peers {
		peers[index].Relays = peers[index].ID != first[1].ID
	}
	check.Equal(directoryOf(peers, 0).Relays("z0", isUnreachable)[0].ID, first[2].ID)
	singleDaemon := NewDirectory(Self{ID: "d", Zone: "z0"}, nil)
	check.True(singleDaemon.IsRelay(noneUnreachable))
	check.Equal(len(singleDaemon.Relays("z0", noneUnreachable)), 0)
}

func TestDirectoryLookups(t *testing.T) {
	check := is.New(t)
	directory := directoryOf(meshOf(13, 4), 2)
	check.Equal(len(directory.All()), 12)
	check.Equal(len(directory.PeersInOwnZone())+len(directory.PeersInOtherZones()), 12)
	check.True(directory.PeersInOtherZones()[0].Zone != "z2")
	check.Equal(directory.Zones(), []string{"z0", "z1", "z2", "z3"})
	found, known := directory.Find("d0005")
	check.True(known)
	check.Equal(found.Zone, "z1")
	_, known = directory.Find("d0002") // the own daemon
	check.True(!known)
}

func TestChangesWithinAPeriodAreBatched(t *testing.T) {
	check := is.New(t)
	batch := NewBatch[protocol.NodeID](200 * time.Millisecond)
	_, schedule := batch.Add(time.Second)
	check.True(!schedule) // nothing to send
	wait, schedule := batch.Add(time.Second, "b")
	check.True(schedule)
	check.Equal(wait, time.Duration(0)) // at once after an idle period
	check.Equal(batch.Take(time.Second), []protocol.NodeID{"b"})
	wait, schedule = batch.Add(time.Second+50*time.Millisecond, "c")
	check.True(schedule)
	check.Equal(wait, 150*time.Millisecond)
	_, schedule = batch.Add(time.Second+60*time.Millisecond, "a", "c")
	check.True(!schedule) // sent with the scheduled broadcast
	check.Equal(batch.Take(time.Second+200*time.Millisecond), []protocol.NodeID{"a", "c"})
}

// There is at most one message per change plus one broadcast per period: while daemons
// report changes for some seconds, a zone's relay sends at most one broadcast to its zone
// in each period.
func TestMessagesGrowLinearlyWithChanges(t *testing.T) {
	const period = 200 * time.Millisecond
	const during = 3 * time.Second
	rapid.Check(t, func(t *rapid.T) {
		check := is.New(t)
		daemons := rapid.SampledFrom([]int{13, 74, 295, 1000}).Draw(t, "daemons")
		changes := rapid.IntRange(1, 3*daemons).Draw(t, "changes")
		zone := daemons / 6
		batch := NewBatch[protocol.NodeID](period)
		var due time.Duration
		scheduled := false
		messages := 0
		send := func(now time.Duration) {
			batch.Take(now)
			scheduled = false
			messages += zone
		}
		for change := range changes {
			now := during * time.Duration(change) / time.Duration(changes)
			if scheduled && now >= due {
				send(due)
			}
			messages++ // one message to the relay
			if wait, schedule := batch.Add(now, protocol.NodeID(fmt.Sprint(change))); schedule {
				due, scheduled = now+wait, true
			}
		}
		send(during)
		check.True(messages <= changes+zone*(int(during/period)+2))
	})
}

// Guards against a small machine that takes the messages of its whole zone while larger ones could.
func TestRelayIsOneOfTheLargestMachinesOfItsZone(t *testing.T) {
	for _, size := range sizes {
		check := is.New(t)
		peers := meshOf(size.daemons, size.zones)
		for index := range peers {
			peers[index].CapacityClass = 4
			if index >= size.daemons-size.zones*2 {
				peers[index].CapacityClass = 7
			}
		}
		for index, peer := range peers {
			directory := directoryOf(peers, index)
			isLarge := peer.CapacityClass == 7
			check.True(isLarge || !directory.IsRelay(noneUnreachable))
			if relays := directory.Relays(peer.Zone, noneUnreachable); len(relays) > 0 {
				check.Equal(relays[0].CapacityClass, uint8(7))
			}
		}
	}
}

// Guards against daemons that start together and then ask the same few for all records, or compare with
// the same one at the same time.
func TestOrderOfDeputiesDiffersAmongDaemons(t *testing.T) {
	for _, size := range sizes {
		check := is.New(t)
		peers := meshOf(size.daemons, size.zones)
		asked := map[protocol.NodeID]int{}
		third := map[protocol.NodeID]int{}
		for index := range peers {
			deputies := directoryOf(peers, index).Deputies()
			for _, deputy := range deputies[:min(2, len(deputies))] {
				asked[deputy.ID]++
			}
			third[deputies[2%len(deputies)].ID]++
		}
		for id := range asked {
			check.True(asked[id] <= 12) // 2 on average
			check.True(third[id] <= 9)  // 1 on average
		}
	}
}
