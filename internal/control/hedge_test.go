package control

import (
	"context"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/springstack/springstack/internal/core/protocol"
	relay "github.com/springstack/springstack/internal/lab/link"
)

// silenceBound is how long the hedged clients of these tests wait for a silent connection.
const silenceBound = 30 * time.Millisecond

// hedgedPair starts a server that answers after some time, a link to it, and a client that hedges
// its calls over the link.
func hedgedPair(t *testing.T, work func() time.Duration) (*relay.Link, *Client, chan time.Time) {
	t.Helper()
	server, client := pair(t, DefaultLimits(), func(context.Context, any) (any, error) {
		time.Sleep(work())
		return &protocol.ExchangeReply{Version: 7}, nil
	})
	opened, err := relay.Open(relay.Config{Target: server.Address()})
	is.New(t).NoErr(err)
	t.Cleanup(opened.Close)
	dead := make(chan time.Time, 10)
	client.HedgeCalls(Hedge{
		After:  func() time.Duration { return silenceBound },
		OnDead: func(_ string, opened time.Time) { dead <- opened },
	})
	return opened, client, dead
}

func callOver(t *testing.T, client *Client, over *relay.Link) {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
	defer cancel()
	reply, err := client.Call(ctx, over.Address(), &protocol.ExchangeRequest{Format: protocol.Format})
	is.New(t).NoErr(err)
	is.New(t).Equal(reply.(*protocol.ExchangeReply).Version, protocol.Version(7))
}

// A connection that fell silent without a reset costs a call a moment and not its whole time.
func TestACallOverADeadConnectionIsAnsweredOverANewOne(t *testing.T) {
	check := is.New(t)
	over, client, dead := hedgedPair(t, func() time.Duration { return 0 })
	callOver(t, client, over)
	before := time.Now()
	over.Silence()
	callOver(t, client, over)
	check.True((<-dead).Before(before))
	callOver(t, client, over)
	check.Equal(len(dead), 0) // the new connection is used from now on
}

// A peer that stands still answers over both connections; neither is dead.
func TestAPeerThatStandsStillIsNotTakenForADeadConnection(t *testing.T) {
	check := is.New(t)
	over, client, dead := hedgedPair(t, func() time.Duration { return 3 * silenceBound })
	for range 3 {
		callOver(t, client, over)
	}
	time.Sleep(2 * lateAnswer)
	check.Equal(len(dead), 0)
}

// Connections that are given up carry no more calls, and are closed with their last one.
func TestConnectionsOpenedBeforeATimeAreUsedNoMore(t *testing.T) {
	check := is.New(t)
	over, client, _ := hedgedPair(t, func() time.Duration { return 0 })
	callOver(t, client, over)
	client.mutex.Lock()
	before := client.peers[over.Address()]
	client.mutex.Unlock()
	client.DropOpenedBefore(before.opened)
	callOver(t, client, over)
	client.mutex.Lock()
	check.Equal(client.peers[over.Address()], before) // it was not opened before
	client.mutex.Unlock()
	client.DropOpenedBefore(time.Now())
	callOver(t, client, over)
	client.mutex.Lock()
	check.True(client.peers[over.Address()] != before)
	client.mutex.Unlock()
}
