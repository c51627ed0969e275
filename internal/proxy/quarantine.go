package proxy

import (
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/samber/lo"

	"github.com/springstack/springstack/internal/core/admission"
	"github.com/springstack/springstack/internal/core/quarantine"
)

const (
	// answeredTime is how long the gate remembers which requests its back end answered
	// well, and answeredCount how many at most: 32 bytes each. Within it a request that
	// comes regularly is not taken for one that ends its back end.
	answeredRetention   = time.Minute
	maxAnsweredRequests = 1 << 14
)

// harmful is what the daemon knows of requests that may end the back ends that run them.
// Calls read it by an atomic pointer, and pay two loads where nothing is known.
type harmfulRequests struct {
	clock func() time.Duration
	log   func(name string, fields ...EventField)
	// held is told of requests that are held by an end seen here. Nil tells nobody.
	onHeld func(quarantine.Record)
	// tell is told that there is news for all daemons, urgent when it holds for the next
	// request that comes. It must not block. Nil tells nobody.
	onChanged func(urgent bool)
	// answered are the requests that the back end beside the daemon has answered well.
	answered *admission.FingerprintSet
	view     atomic.Pointer[quarantine.View]

	mutex sync.Mutex
	table *quarantine.Table
	// untold are the requests of which others have not been told yet.
	unpublished map[quarantine.Signature]bool
}

func newHarmfulRequests(config Config, log func(string, ...EventField)) *harmfulRequests {
	return &harmfulRequests{
		clock:       config.Clock,
		onChanged:   config.OnHarmful,
		onHeld:      config.OnHeld,
		log:         log,
		table:       quarantine.NewTable(quarantine.DefaultRules()),
		answered:    admission.NewFingerprintSet(config.Clock(), answeredRetention, maxAnsweredRequests),
		unpublished: map[quarantine.Signature]bool{},
	}
}

// change changes what is known of some requests, and has all daemons told of what changed.
func (h *harmfulRequests) update(signatures []quarantine.Signature, change func(now time.Duration, signature quarantine.Signature) bool) []quarantine.Signature {
	h.mutex.Lock()
	now := h.clock()
	changed := lo.Filter(signatures, func(signature quarantine.Signature, _ int) bool { return change(now, signature) })
	for _, signature := range changed {
		h.unpublished[signature] = true
	}
	if len(changed) > 0 {
		h.publishView()
	}
	h.mutex.Unlock()
	if len(changed) > 0 && h.onChanged != nil {
		h.onChanged(true)
	}
	return changed
}

// publish puts what is known in force, and logs what that means for requests; the lock is
// held. What changes of one may change what is believed of others.
func (h *harmfulRequests) publishView() {
	now := h.clock()
	next := h.table.View(now)
	before := h.view.Swap(next)
	for _, record := range h.table.Records(now) {
		was, _ := before.State(now, record.Signature)
		is, _ := next.State(now, record.Signature)
		if was == is {
			continue
		}
		h.log("harmful_request", textField("signature", record.Signature.String()), textField("belief", is.String()),
			textField("ends", formatInt(len(record.Ends))), textField("ends_beside_others", formatInt(record.CountSharedEnds())),
			textField("last_trial", formatInt(int(next.LastTrial(record.Signature)))),
			textField("isolation", next.Isolation(now, record.Signature).String()), textField("round", formatInt(int(record.Round))),
			textField("familiar", strconv.FormatBool(record.Familiar)))
	}
}

// noteUnknownAtEnd notes that requests that are not known were at work as an instance ended,
// before noteEnded tells of the others.
func (h *harmfulRequests) recordUnidentified(instance string) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	h.table.RecordUnidentified(instance)
}

// noteEnded notes that an instance beside this daemon has ended under some requests, and has
// all others told.
func (h *harmfulRequests) recordEnd(instance string, signatures ...quarantine.Signature) {
	h.recordEndInTrials(nil, instance, signatures...)
}

// noteEndedIn is noteEnded for runs whose trials are known; those of others are trials of their
// own.
func (h *harmfulRequests) recordEndInTrials(trials map[quarantine.Signature]uint32, instance string, signatures ...quarantine.Signature) {
	changed := h.update(signatures, func(now time.Duration, signature quarantine.Signature) bool {
		familiar := h.answered.Contains(fingerprintOf(signature))
		if trial := trials[signature]; trial > 0 {
			return h.table.RecordEndInTrial(now, signature, instance, familiar, trial)
		}
		return h.table.RecordEnd(now, signature, instance, familiar)
	})
	if h.onHeld == nil {
		return
	}
	for _, signature := range changed {
		h.notifyIfHeld(signature)
	}
}

// tellHeld tells of a request if it is held now.
func (h *harmfulRequests) notifyIfHeld(signature quarantine.Signature) {
	h.mutex.Lock()
	record, found := h.table.Lookup(h.clock(), signature)
	h.mutex.Unlock()
	belief, _ := h.view.Load().State(h.clock(), signature)
	if found && belief == quarantine.Held {
		h.onHeld(record)
	}
}

// noteAnswered remembers that the back end has answered a request well, and clears it if it
// was suspected.
func (h *harmfulRequests) recordAnswered(signature quarantine.Signature) {
	h.answered.Add(h.clock(), fingerprintOf(signature))
	if h.view.Load().Has(signature) {
		h.clear(signature)
	}
}

// clear has a request trusted again.
func (h *harmfulRequests) clear(signature quarantine.Signature) {
	h.update([]quarantine.Signature{signature}, h.table.Clear)
}

// fingerprintOf shortens a signature to what is remembered of answered requests. Two with
// the same one can at worst be held an end later.
func fingerprintOf(signature quarantine.Signature) admission.Fingerprint {
	return admission.Fingerprint(signature.Key())
}

// MergeHarmful takes a peer's records of requests that may be harmful, and tells how many
// can't be true. Of those that its back end has answered well before, the daemon tells in
// its turn; those that came by an answer are told to all, since the peer was asked first.
func (p *Proxy) MergeHarmful(records []quarantine.Record, pass bool) (refused int) {
	h := p.harmful
	h.mutex.Lock()
	now := h.clock()
	changed, tell := false, false
	for _, record := range records {
		news, valid := h.table.Merge(now, record)
		if !valid {
			refused++
		}
		own := news && !record.Familiar && h.answered.Contains(fingerprintOf(record.Signature)) && h.table.MarkFamiliar(now, record.Signature)
		changed = changed || news
		if own || (news && pass) {
			h.unpublished[record.Signature] = true
			tell = true
		}
	}
	if changed {
		h.publishView()
	}
	h.mutex.Unlock()
	if tell && h.onChanged != nil {
		h.onChanged(false)
	}
	return refused
}

// HarmfulBelief is what the daemon believes of a request.
func (p *Proxy) HarmfulBelief(signature quarantine.Signature) quarantine.State {
	belief, _ := p.harmful.view.Load().State(p.harmful.clock(), signature)
	return belief
}

// ReleaseHarmful has a request trusted again by all daemons, until back ends end under it
// anew.
func (p *Proxy) ReleaseHarmful(signature quarantine.Signature) {
	p.harmful.clear(signature)
}

// HarmfulRecords are all records of requests that may be harmful.
func (p *Proxy) HarmfulRecords() []quarantine.Record {
	p.harmful.mutex.Lock()
	defer p.harmful.mutex.Unlock()
	return p.harmful.table.Records(p.harmful.clock())
}

// UntoldHarmful are the records that others have not been told of; they count as told then.
func (p *Proxy) UntoldHarmful() []quarantine.Record {
	h := p.harmful
	h.mutex.Lock()
	defer h.mutex.Unlock()
	var records []quarantine.Record
	for signature := range h.unpublished {
		if record, found := h.table.Lookup(h.clock(), signature); found {
			records = append(records, record)
		}
	}
	clear(h.unpublished)
	return records
}

// HarmfulSum is the same on daemons that know the same of harmful requests; 0 for nothing.
func (p *Proxy) HarmfulSum() uint64 {
	h := p.harmful
	if h.view.Load().Empty() {
		return 0
	}
	h.mutex.Lock()
	defer h.mutex.Unlock()
	if h.table.Expire(h.clock()) {
		h.publishView()
	}
	return h.table.Sum(h.clock())
}
