package harmful

import (
	"fmt"
	"slices"
	"time"

	"github.com/samber/lo"

	"github.com/springstack/springstack/internal/core/quarantine"
)

const (
	// attempts is how many back ends one try of a request is sent to, tries how often its
	// client sends it.
	attempts = 2
	tries    = 2
	// inTouch and sendsAllowed are the bound on what is sent after the third end.
	inTouch      = 3 * time.Second
	sendsAllowed = 3
	// longHold is longer than the first hold of any request.
	longHold = 2 * time.Minute
)

// request is one request with all that is drawn of it.
type request struct {
	signature quarantine.Signature
	// ends is after how long it ends its back end; 0 for a harmless one.
	ends time.Duration
	work time.Duration
}

// work is one request on its way.
type work struct {
	request
	try, attempt int
	entry        int
	// suspect says that a back end has ended under the try, and that it is suspected of it.
	suspect bool
	// tried are the gates it was sent to in this try.
	tried []int
	// hasTurn says that it runs as the one suspected request of its gate.
	hasTurn bool
	// trial is which trial of the request its run is, as far as the gate has heard.
	trial uint32
}

// harm is what one harmful request has done.
type harm struct {
	ends  []time.Duration
	later int
	known time.Duration
}

// day is one day of one way.
type day struct {
	*mesh
	length time.Duration
	harms  map[quarantine.Signature]*harm
	// released is what harmful requests had done when an operator released them.
	released []*harm
	held     map[quarantine.Signature]bool
	heldLong map[quarantine.Signature]bool
	// mended are the harmful requests that end no back end any more.
	mended   map[quarantine.Signature]bool
	requests int
	lost     int
}

func signatureOf(name string) quarantine.Signature {
	return quarantine.Signature{Head: quarantine.Head{Method: "GET", Target: name}.Sum()}
}

// send begins a try at a drawn entry.
func (d *day) send(sent request, try int) {
	d.attempt(&work{request: sent, try: try, entry: d.Random().IntN(daemonCount)})
}

// attempt sends a request to a gate, or refuses it.
func (d *day) attempt(sent *work) {
	belief := d.beliefOf(d.daemons[sent.entry], sent)
	if belief == quarantine.Held {
		d.refuse(sent)
		return
	}
	gate := d.choose(sent, belief)
	if gate < 0 {
		d.fail(sent)
		return
	}
	sent.tried = append(sent.tried, gate)
	d.After(d.Between(time.Millisecond, 3*time.Millisecond), func() { d.arrive(sent, gate) })
}

// choose picks a gate whose back end is up: any, or for a suspected request the one that
// ranks first for it.
func (d *day) choose(sent *work, belief quarantine.State) int {
	up := lo.Filter(lo.Range(gateCount), func(gate, _ int) bool {
		return d.daemons[gate].up && !slices.Contains(sent.tried, gate)
	})
	if len(up) == 0 {
		return -1
	}
	if d.way.Apart && belief == quarantine.Suspected {
		key := sent.signature.Key()
		return lo.MaxBy(up, func(one, best int) bool { return rank(key, one) > rank(key, best) })
	}
	return up[d.Random().IntN(len(up))]
}

func rank(key uint64, gate int) uint64 {
	mixed := (key ^ uint64(gate+1)) * 0x9e3779b97f4a7c15
	return mixed ^ mixed>>29
}

// arrive takes a request at a gate: it runs, waits for its turn, or is refused.
func (d *day) arrive(sent *work, gate int) {
	at := d.daemons[gate]
	belief := d.beliefOf(at, sent)
	suspected := d.way.Apart && belief == quarantine.Suspected
	switch {
	case belief == quarantine.Held:
		d.refuse(sent)
	case !at.up:
		d.again(sent)
	case suspected && slices.ContainsFunc(at.running, func(one *work) bool { return one.hasTurn }),
		at.alone != nil:
		at.waiting = append(at.waiting, sent)
	case len(at.running) >= slots:
		d.again(sent)
	case suspected && len(at.running) > 0 && d.isolation(at, sent) != quarantine.AlongsideTrusted:
		d.isolate(sent, gate)
	default:
		sent.hasTurn = suspected
		if suspected && d.isolation(at, sent) != quarantine.AlongsideTrusted {
			at.alone = sent
		}
		d.run(sent, gate)
	}
}

// beliefOf is what a daemon believes of a request, which is suspected at least if a back end
// has ended under this try.
func (d *day) beliefOf(at *daemon, sent *work) quarantine.State {
	belief := d.believes(at, sent.signature)
	if sent.suspect {
		belief = max(belief, quarantine.Suspected)
	}
	return belief
}

// run lets a back end run a request until it answers or ends.
func (d *day) run(sent *work, gate int) {
	at := d.daemons[gate]
	at.running = append(at.running, sent)
	instance := at.instance
	sent.trial = at.table.View(d.Now()).LastTrial(sent.signature) + 1
	d.noteSend(sent)
	ends, work := sent.ends, sent.work
	if d.mended[sent.signature] {
		ends, work = 0, mendedWork
	}
	if at.bad {
		ends = d.Between(5*time.Millisecond, 50*time.Millisecond)
	}
	if ends > 0 {
		d.After(ends, func() {
			if at.instance == instance && at.up && slices.Contains(at.running, sent) {
				if sent.ends > 0 && !d.mended[sent.signature] {
					d.noteHarm(sent.signature)
				}
				d.endBackend(gate)
			}
		})
		return
	}
	d.After(work, func() {
		if at.instance == instance && at.up && slices.Contains(at.running, sent) {
			d.answer(sent, at, gate)
		}
	})
}

// answer ends a run well and gives the next suspected request its turn.
func (d *day) answer(sent *work, at *daemon, gate int) {
	at.running = lo.Without(at.running, sent)
	if at.alone == sent {
		at.alone = nil
	}
	d.clear(at, sent.signature)
	d.startAlone(at, gate)
	d.nextTurn(at, gate)
}

func (d *day) nextTurn(at *daemon, gate int) {
	waiting := at.waiting
	at.waiting = nil
	for _, one := range waiting {
		d.arrive(one, gate)
	}
}

// endBackend ends the back end of a gate with all that runs there.
func (d *day) endBackend(gate int) {
	at := d.daemons[gate]
	if !at.up {
		return
	}
	instance := d.name(gate)
	lostHere := at.running
	if one := at.alone; one != nil && !slices.Contains(at.running, one) {
		at.waiting = append(at.waiting, one)
	}
	at.up, at.running, at.alone = false, nil, nil
	trials := map[quarantine.Signature]uint32{}
	for _, one := range d.blamed(at, lostHere) {
		one.suspect = true
		trials[one.signature] = max(trials[one.signature], one.trial)
	}
	d.note(at, instance, trials)
	for _, one := range lostHere {
		d.again(one)
	}
	d.nextTurn(at, gate)
	d.After(d.Between(backAfter/2, backAfter), func() {
		at.instance++
		at.up = true
	})
}

// blamed are the requests that an end is put down to.
func (d *day) blamed(at *daemon, atWork []*work) []*work {
	if d.way.Answers && !at.proven {
		return nil
	}
	atWork = lo.UniqBy(atWork, func(one *work) quarantine.Signature { return one.signature })
	suspected := lo.Filter(atWork, func(one *work, _ int) bool {
		return one.hasTurn || d.believes(at, one.signature) != quarantine.Trusted
	})
	if d.way.SuspectedFirst && len(suspected) > 0 {
		return suspected
	}
	return atWork
}

// again sends a request to another gate, or lets its client try again.
func (d *day) again(sent *work) {
	sent.attempt++
	if sent.attempt < attempts {
		d.attempt(sent)
		return
	}
	d.fail(sent)
}

// refuse ends a try of a request that is held.
func (d *day) refuse(sent *work) {
	if sent.ends == 0 {
		d.noteHeld(sent)
	}
	d.fail(sent)
}

// noteHeld notes that a harmless request is held, and whether for long.
func (d *day) noteHeld(sent *work) {
	d.held[sent.signature] = true
	for _, one := range d.daemons {
		if _, left := one.table.View(d.Now()).State(d.Now(), sent.signature); left > longHold {
			d.heldLong[sent.signature] = true
		}
	}
}

// fail ends a try; the client tries once more.
func (d *day) fail(sent *work) {
	if sent.try+1 < tries {
		d.After(d.Between(time.Millisecond, 30*time.Millisecond), func() { d.send(sent.request, sent.try+1) })
		return
	}
	if sent.ends == 0 {
		d.lost++
	}
}

// noteSend counts what reaches back ends after the bound.
func (d *day) noteSend(sent *work) {
	if done := d.harms[sent.signature]; done != nil && len(done.ends) >= 3 && d.Now() > done.ends[2]+inTouch {
		done.later++
	}
}

func (d *day) noteHarm(signature quarantine.Signature) {
	if d.harms[signature] == nil {
		d.harms[signature] = &harm{}
	}
	d.harms[signature].ends = append(d.harms[signature].ends, d.Now())
}

// noteKnown notes when every daemon holds a harmful request.
func (d *day) noteKnown() {
	for signature, done := range d.harms {
		if done.known == 0 && lo.EveryBy(d.daemons, func(one *daemon) bool { return d.believes(one, signature) == quarantine.Held }) {
			done.known = d.Now() - done.ends[0]
		}
	}
}

// repeat does something again and again, in drawn steps around a mean, until the day ends.
func (d *day) repeat(mean time.Duration, action func()) {
	d.After(d.Between(0, 2*mean), func() {
		if d.Now() < d.length {
			action()
			d.repeat(mean, action)
		}
	})
}

// restartDaemon ends a daemon, which remembers nothing then, and lets it learn from a peer.
func (d *day) restartDaemon(index int) {
	at := d.daemons[index]
	at.table, at.answered = quarantine.NewTable(d.way.Rules), map[quarantine.Signature]bool{}
	d.After(d.Between(50*time.Millisecond, time.Second), func() {
		peer := d.daemons[(index+1+d.Random().IntN(daemonCount-1))%daemonCount]
		for _, record := range peer.table.Records(d.Now()) {
			d.hear(at, record)
		}
	})
}

// play draws a day and plays it.
func (d *day) play(harmful int) {
	d.harmless()
	d.otherEnds(harmful)
	for number := range harmful {
		one := request{signature: signatureOf(fmt.Sprint("harmful ", number)), ends: d.Between(10*time.Millisecond, 90*time.Millisecond)}
		period := d.Between(20*time.Millisecond, 800*time.Millisecond)
		d.After(d.Between(0, d.length/2), func() { d.repeat(period, func() { d.send(one, 0) }) })
		d.mendLater(one.signature)
	}
	d.repeat(10*time.Millisecond, d.noteKnown)
	for d.Step(d.length + backAfter) {
	}
}

// harmless draws requests of others: a few that come often, one that comes rarely and takes
// long, many that come once, and some that come a few times and never again.
func (d *day) harmless() {
	count := func(sent request) {
		d.requests++
		d.send(sent, 0)
	}
	for number := range 1 + d.Random().IntN(4) {
		often := request{signature: signatureOf(fmt.Sprint("often ", number)), work: d.Between(20*time.Millisecond, 100*time.Millisecond)}
		d.repeat(d.Between(40*time.Millisecond, 300*time.Millisecond), func() { count(often) })
	}
	rare := request{signature: signatureOf("rare"), work: d.Between(200*time.Millisecond, 600*time.Millisecond)}
	d.repeat(d.Between(300*time.Millisecond, 2*time.Second), func() { count(rare) })
	number := 0
	d.repeat(d.Between(20*time.Millisecond, 100*time.Millisecond), func() {
		number++
		count(request{signature: signatureOf(fmt.Sprint("once ", number)), work: d.Between(20*time.Millisecond, 500*time.Millisecond)})
	})
	d.repeat(d.Between(50*time.Millisecond, 300*time.Millisecond), func() {
		number++
		few := request{signature: signatureOf(fmt.Sprint("few ", number)), work: d.Between(20*time.Millisecond, 900*time.Millisecond)}
		for range 2 + d.Random().IntN(5) {
			d.After(d.Between(0, time.Second), func() { count(few) })
		}
	})
}

// otherEnds draws what else ends back ends and daemons. Days without harmful requests have
// more of it.
func (d *day) otherEnds(harmful int) {
	mean := 8 * time.Second
	if harmful == 0 {
		mean = 2 * time.Second
	}
	d.repeat(mean, func() { d.endBackend(d.Random().IntN(gateCount)) })
	d.repeat(3*mean, func() { // a rack
		first := d.Random().IntN(gateCount)
		for step := range 3 {
			d.endBackend((first + step) % gateCount)
		}
	})
	d.repeat(2*mean, func() { d.restartDaemon(d.Random().IntN(daemonCount)) })
	if d.Random().IntN(4) == 0 { // a version that ends on every request, at some back ends
		count := 1 + d.Random().IntN(gateCount)
		d.After(d.Between(0, d.length/2), func() {
			for gate := range count {
				d.endBackend(gate)
				d.daemons[gate].bad, d.daemons[gate].proven = true, false
			}
			d.After(5*time.Second, func() {
				for gate := range count {
					d.daemons[gate].bad = false
				}
			})
		})
	}
}
