package node

import (
	"time"

	"github.com/samber/lo"

	"github.com/springstack/springstack/internal/core/distribution"
	"github.com/springstack/springstack/internal/core/membership"
	"github.com/springstack/springstack/internal/core/protocol"
	"github.com/springstack/springstack/internal/core/reader"
)

// readerSide connects the reader to the node: it maps tokens and tickets and keeps
// the newest catalogue.
type readerSide struct {
	reader *reader.Reader
	// calls and watches map the node's tokens to the reader's.
	calls   map[Token]reader.Token
	watches map[Token]reader.Token
	// nextTicket is the last ticket issued. The maps below hold the callbacks of
	// the requests that await a result from the reader, by ticket.
	nextTicket reader.Ticket
	heads      map[reader.Ticket]func(reader.FreshHeadResult)
	submits    map[reader.Ticket]func(*protocol.SubmitReply)
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
		calls:   map[Token]reader.Token{},
		watches: map[Token]reader.Token{},
		heads:   map[reader.Ticket]func(reader.FreshHeadResult){},
		submits: map[reader.Ticket]func(*protocol.SubmitReply){},
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
	n.applyReader(side.reader.Tick(n.now, side.candidacy))
}

// candidacy returns whether this daemon competes for a reader lease. The live and
// the starting members of the region are ranked by rendezvous hash, and the first
// maxCandidates compete unless other members hold all leases. A daemon that no
// other daemon has answered competes only after a jittered delay.
func (n *Node) candidacy() reader.Candidacy {
	if n.leaving || n.now < n.start.aloneAt && !n.start.answered {
		return reader.Candidacy{}
	}
	members := n.liveInRegion(n.config.Region)
	for _, visitor := range n.visitors.list {
		if visitor.member.Region == n.config.Region {
			members = append(members, visitor.member)
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

// applyReader carries out the reader's outputs.
func (n *Node) applyReader(outputs []reader.Output) {
	for _, output := range outputs {
		n.applyReaderOutput(output)
	}
}

func (n *Node) applyReaderOutput(output reader.Output) {
	side := &n.readerSide
	switch one := output.(type) {
	case reader.PlatformCall:
		token := n.newToken()
		side.calls[token] = one.Token
		n.emit(CallPlatform{Token: token, Call: one.Call, Timeout: one.Timeout})
	case reader.StartWatch:
		token := n.newToken()
		side.watches[token] = one.Token
		n.emit(StartWatch{Token: token, Prefix: one.Prefix, From: one.From})
	case reader.StopWatch:
		n.stopWatch(one.Token)
	case reader.SubmitResult:
		n.submitDone(one)
	case reader.FreshHeadResult:
		n.headRead(one)
	case reader.CatalogueReady:
		n.catalogueReady(one)
	case reader.LeaseGained:
		n.changeSelf(func(self *protocol.Member) { self.Reader = true })
		n.log("reader_gained")
	case reader.LeaseLost:
		n.changeSelf(func(self *protocol.Member) { self.Reader = false })
		n.log("reader_lost")
	case reader.LogEvent:
		fields := lo.Map(one.Fields, func(field reader.LogField, _ int) LogField {
			return LogField{Key: field.Key, Value: field.Value}
		})
		n.log(one.Name, fields...)
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
func (n *Node) catalogueReady(catalogue reader.CatalogueReady) {
	known := n.readerSide.catalogue
	if known != nil && catalogue.Version < known.Version {
		return
	}
	n.readerSide.catalogue = &catalogue
	n.heardRegions(lo.Map(catalogue.Keepers, func(set protocol.KeeperSet, _ int) string { return set.Region }))
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
	n.applyReader(n.readerSide.reader.HandlePlatformReply(n.now, token, reply.Reply))
}

func (n *Node) handlePlatformEvent(event PlatformEvent) {
	if token, found := n.readerSide.watches[event.Watch]; found {
		n.applyReader(n.readerSide.reader.HandleEvent(n.now, token, event.Event))
	}
}

func (n *Node) handleWatchEnded(ended WatchEnded) {
	token, found := n.readerSide.watches[ended.Watch]
	if !found {
		return
	}
	delete(n.readerSide.watches, ended.Watch)
	n.applyReader(n.readerSide.reader.HandleWatchEnded(n.now, token, ended.Code))
}

func (n *Node) newTicket() reader.Ticket {
	n.readerSide.nextTicket++
	return n.readerSide.nextTicket
}

// readFreshHead reads the platform's head through this daemon's reader.
func (n *Node) freshHead(done func(reader.FreshHeadResult)) {
	ticket := n.newTicket()
	n.readerSide.heads[ticket] = done
	n.applyReader(n.readerSide.reader.RequestFreshHead(n.now, ticket))
}

func (n *Node) headRead(head reader.FreshHeadResult) {
	done, found := n.readerSide.heads[head.Ticket]
	if !found {
		return
	}
	delete(n.readerSide.heads, head.Ticket)
	done(head)
}

// submit submits a change through this daemon's reader.
func (n *Node) submit(wallClock time.Time, request *protocol.SubmitRequest, done func(*protocol.SubmitReply)) {
	ticket := n.newTicket()
	n.readerSide.submits[ticket] = done
	n.applyReader(n.readerSide.reader.Submit(n.now, wallClock, ticket, request))
}

func (n *Node) submitDone(answer reader.SubmitResult) {
	done, found := n.readerSide.submits[answer.Ticket]
	if !found {
		return
	}
	delete(n.readerSide.submits, answer.Ticket)
	done(answer.Reply)
}
