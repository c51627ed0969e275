package node

import (
	"time"

	"github.com/samber/lo"

	"github.com/springstack/springstack/internal/core/distribution"
	"github.com/springstack/springstack/internal/core/membership"
	"github.com/springstack/springstack/internal/core/protocol"
	"github.com/springstack/springstack/internal/core/reader"
)

// readerSide connects the reader to the node. It maps the node's tokens to the reader's
// and tickets to callbacks, and keeps the newest catalogue.
type readerSide struct {
	reader *reader.Reader
	// calls and watches map the node's tokens to the reader's.
	calls   map[Token]reader.Token
	watches map[Token]reader.Token
	// lastTicket is the last ticket issued. The maps below hold the callbacks of
	// the requests that await a result from the reader, by ticket.
	lastTicket      reader.Ticket
	headCallbacks   map[reader.Ticket]func(reader.FreshHeadResult)
	submitCallbacks map[reader.Ticket]func(*protocol.SubmitReply)
	// catalogue is the newest catalogue received; nil before the first.
	catalogue *reader.CatalogueReady
	// candidacy is computed again at candidacyAt.
	candidacy   reader.Candidacy
	candidacyAt time.Duration
}

// The limits and periods of the competition for reader leases.
const (
	// leaseSlots is the number of reader leases of a region.
	leaseSlots = 2
	// maxCandidates is the number of members of a region that may compete for the
	// leases on the platform: one for each slot and a spare.
	maxCandidates = leaseSlots + 1
	// candidateDelay is the delay between the attempts of successive ranks.
	candidateDelay = 500 * time.Millisecond
	// candidacyInterval is the time between rankings of the candidates.
	candidacyInterval = time.Second
)

func newReaderSide(config Config, seed uint64) readerSide {
	return readerSide{
		reader: reader.New(reader.Config{
			ID:            config.ID,
			Region:        config.Region,
			LeaseSlots:    leaseSlots,
			LeaseDuration: config.Timing.ReaderLease,
			RandomSeed:    seed,
		}),
		calls:           map[Token]reader.Token{},
		watches:         map[Token]reader.Token{},
		headCallbacks:   map[reader.Ticket]func(reader.FreshHeadResult){},
		submitCallbacks: map[reader.Ticket]func(*protocol.SubmitReply){},
	}
}

// tickReader lets the reader compete for a lease while this daemon is a
// candidate.
func (n *Node) tickReader() {
	side := &n.readerSide
	if n.now >= side.candidacyAt {
		side.candidacyAt = n.now + candidacyInterval
		side.candidacy = n.candidacy()
	}
	if !side.candidacy.Candidate && !side.reader.IsReader() && len(side.calls) == 0 {
		return
	}
	n.applyReaderOutputs(side.reader.Tick(n.now, side.candidacy))
}

// candidacy returns whether and after what delay this daemon competes for a reader
// lease. The live and the starting members of the region are ranked by rendezvous
// hash, and the first maxCandidates compete unless other members hold all leases. A
// daemon that no other daemon has answered competes only after a jittered delay.
func (n *Node) candidacy() reader.Candidacy {
	if n.leaving || n.now < n.start.fallbackAt && !n.start.peerAnswered {
		return reader.Candidacy{}
	}
	members := n.liveInRegion(n.config.Region)
	for _, peer := range n.startingPeers.list {
		if peer.member.Region == n.config.Region {
			members = append(members, peer.member)
		}
	}
	members = lo.UniqBy(members, func(member protocol.Member) protocol.NodeID { return member.ID })
	readers := lo.CountBy(members, func(member protocol.Member) bool {
		return member.Reader && member.ID != n.self.ID && member.State == protocol.MemberAlive
	})
	if readers >= leaseSlots {
		return reader.Candidacy{}
	}
	for rank, member := range membership.Rank(readerPurpose(n.config.Region), members) {
		if rank == maxCandidates {
			break
		}
		if member.ID == n.self.ID {
			jitter := distribution.Jitter(n.random, candidateDelay)
			return reader.Candidacy{Candidate: true, Delay: time.Duration(rank)*candidateDelay + jitter}
		}
	}
	return reader.Candidacy{}
}

// readerPurpose returns the rendezvous-hash purpose for ranking the candidates for a
// reader lease.
func readerPurpose(region string) string { return "reader/" + region }

// applyReaderOutputs carries out the reader's outputs.
func (n *Node) applyReaderOutputs(outputs []reader.Output) {
	for _, output := range outputs {
		n.applyReaderOutput(output)
	}
}

func (n *Node) applyReaderOutput(output reader.Output) {
	side := &n.readerSide
	switch received := output.(type) {
	case reader.PlatformCall:
		token := n.newToken()
		side.calls[token] = received.Token
		n.emit(CallPlatform{Token: token, Call: received.Call, Timeout: received.Timeout})
	case reader.StartWatch:
		token := n.newToken()
		side.watches[token] = received.Token
		n.emit(StartWatch{Token: token, Prefix: received.Prefix, From: received.From})
	case reader.StopWatch:
		n.stopWatch(received.Token)
	case reader.SubmitResult:
		n.handleSubmitResult(received)
	case reader.FreshHeadResult:
		n.handleFreshHead(received)
	case reader.CatalogueReady:
		n.handleCatalogue(received)
	case reader.LeaseGained:
		n.updateSelf(func(self *protocol.Member) { self.Reader = true })
		n.log("reader_gained")
	case reader.LeaseLost:
		n.updateSelf(func(self *protocol.Member) { self.Reader = false })
		n.log("reader_lost")
	case reader.LogEvent:
		fields := lo.Map(received.Fields, func(field reader.LogField, _ int) LogField {
			return LogField{Key: field.Key, Value: field.Value}
		})
		n.log(received.Name, fields...)
	}
}

func (n *Node) stopWatch(watch reader.Token) {
	for token, known := range n.readerSide.watches {
		if known == watch {
			delete(n.readerSide.watches, token)
			n.emit(StopWatch{Token: token})
			return
		}
	}
}

// handleCatalogue stores a complete version read from the platform. A root releases
// it; other daemons keep it in case they become root.
func (n *Node) handleCatalogue(catalogue reader.CatalogueReady) {
	known := n.readerSide.catalogue
	if known != nil && catalogue.Version < known.Version {
		return
	}
	n.readerSide.catalogue = &catalogue
	n.addRegions(lo.Map(catalogue.Keepers, func(set protocol.KeeperSet, _ int) string { return set.Region }))
	if n.root.active {
		n.propose(&catalogue)
	}
}

func (n *Node) handlePlatformReply(reply PlatformReply) {
	token, found := n.readerSide.calls[reply.Token]
	if !found {
		return
	}
	delete(n.readerSide.calls, reply.Token)
	n.applyReaderOutputs(n.readerSide.reader.HandlePlatformReply(n.now, token, reply.Reply))
}

func (n *Node) handlePlatformEvent(event PlatformEvent) {
	if token, found := n.readerSide.watches[event.Watch]; found {
		n.applyReaderOutputs(n.readerSide.reader.HandleEvent(n.now, token, event.Event))
	}
}

func (n *Node) handleWatchEnded(ended WatchEnded) {
	token, found := n.readerSide.watches[ended.Watch]
	if !found {
		return
	}
	delete(n.readerSide.watches, ended.Watch)
	n.applyReaderOutputs(n.readerSide.reader.HandleWatchEnded(n.now, token, ended.Code))
}

func (n *Node) newTicket() reader.Ticket {
	n.readerSide.lastTicket++
	return n.readerSide.lastTicket
}

// readFreshHead reads the platform's head through this daemon's reader.
func (n *Node) readFreshHead(done func(reader.FreshHeadResult)) {
	ticket := n.newTicket()
	n.readerSide.headCallbacks[ticket] = done
	n.applyReaderOutputs(n.readerSide.reader.RequestFreshHead(n.now, ticket))
}

func (n *Node) handleFreshHead(head reader.FreshHeadResult) {
	done, found := n.readerSide.headCallbacks[head.Ticket]
	if !found {
		return
	}
	delete(n.readerSide.headCallbacks, head.Ticket)
	done(head)
}

// submit submits a change through this daemon's reader.
func (n *Node) submit(wallClock time.Time, request *protocol.SubmitRequest, done func(*protocol.SubmitReply)) {
	ticket := n.newTicket()
	n.readerSide.submitCallbacks[ticket] = done
	n.applyReaderOutputs(n.readerSide.reader.Submit(n.now, wallClock, ticket, request))
}

func (n *Node) handleSubmitResult(answer reader.SubmitResult) {
	done, found := n.readerSide.submitCallbacks[answer.Ticket]
	if !found {
		return
	}
	delete(n.readerSide.submitCallbacks, answer.Ticket)
	done(answer.Reply)
}
