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
	// answeredRetention is how long the gate remembers which requests its back end answered without
	// a server error, and maxAnsweredRequests how many at most, at 32 bytes each. A remembered
	// request is held only after more ends of back ends than a request that is not remembered.
	answeredRetention   = time.Minute
	maxAnsweredRequests = 1 << 14
)

// harmfulRequests holds the daemon's quarantine records. A request is recorded if running it may
// end its back end. The quarantine checks of calls read only view, an atomic pointer, and take no
// lock. If there are no records, each check costs one load of view and a test for emptiness.
type harmfulRequests struct {
	clock func() time.Duration
	log   func(name string, fields ...EventField)
	// onHeld is called for requests that become held by an end observed here; nil calls nothing.
	onHeld func(quarantine.Record)
	// onChanged is called when records are to be sent to all daemons; urgent means that they affect
	// the next request. It must not block. Nil calls nothing.
	onChanged func(urgent bool)
	// answeredRequests are the requests that the daemon's own back end has answered without a
	// server error.
	answeredRequests *admission.FingerprintSet
	view             atomic.Pointer[quarantine.View]

	mutex sync.Mutex
	table *quarantine.Table
	// unpublishedRequests are the requests with records that have not been sent to other daemons
	// yet.
	unpublishedRequests map[quarantine.Signature]bool
}

func newHarmfulRequests(config Config, log func(string, ...EventField)) *harmfulRequests {
	return &harmfulRequests{
		clock:               config.Clock,
		onChanged:           config.OnHarmful,
		onHeld:              config.OnHeld,
		log:                 log,
		table:               quarantine.NewTable(quarantine.DefaultRules()),
		answeredRequests:    admission.NewFingerprintSet(config.Clock(), answeredRetention, maxAnsweredRequests),
		unpublishedRequests: map[quarantine.Signature]bool{},
	}
}

// update applies a change to some requests and has the changed records sent to all daemons.
func (h *harmfulRequests) update(signatures []quarantine.Signature, change func(now time.Duration, signature quarantine.Signature) bool) []quarantine.Signature {
	h.mutex.Lock()
	now := h.clock()
	changed := lo.Filter(signatures, func(signature quarantine.Signature, _ int) bool { return change(now, signature) })
	for _, signature := range changed {
		h.unpublishedRequests[signature] = true
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

// publishView puts the current records in force and logs which requests changed state; the mutex
// must be held. A change to one request may change the state of others.
func (h *harmfulRequests) publishView() {
	now := h.clock()
	next := h.table.View(now)
	previous := h.view.Swap(next)
	for _, record := range h.table.Records(now) {
		previousState, _ := previous.State(now, record.Signature)
		state, _ := next.State(now, record.Signature)
		if previousState == state {
			continue
		}
		h.log("harmful_request", textField("signature", record.Signature.String()), textField("belief", state.String()),
			textField("ends", formatInt(len(record.Ends))), textField("ends_beside_others", formatInt(record.CountSharedEnds())),
			textField("last_trial", formatInt(int(next.LastTrial(record.Signature)))),
			textField("isolation", next.Isolation(now, record.Signature).String()), textField("round", formatInt(int(record.Round))),
			textField("familiar", strconv.FormatBool(record.Familiar)))
	}
}

// recordUnidentified records that unidentified requests were running when an instance ended. It
// must be called before recordEnd for that instance.
func (h *harmfulRequests) recordUnidentified(instance string) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	h.table.RecordUnidentifiedCompanions(instance)
}

// recordEnd records that an instance of the daemon's own back end ended under some requests, and
// has the records sent to all daemons.
func (h *harmfulRequests) recordEnd(instance string, signatures ...quarantine.Signature) {
	h.recordEndInTrials(nil, instance, signatures...)
}

// recordEndInTrials is recordEnd for runs with known trial numbers. A request without a number
// counts as a trial of its own.
func (h *harmfulRequests) recordEndInTrials(trials map[quarantine.Signature]uint32, instance string, signatures ...quarantine.Signature) {
	changed := h.update(signatures, func(now time.Duration, signature quarantine.Signature) bool {
		familiar := h.answeredRequests.Contains(fingerprintOf(signature))
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

// notifyIfHeld calls onHeld if the request is held now.
func (h *harmfulRequests) notifyIfHeld(signature quarantine.Signature) {
	h.mutex.Lock()
	record, found := h.table.Lookup(h.clock(), signature)
	h.mutex.Unlock()
	state, _ := h.view.Load().State(h.clock(), signature)
	if found && state == quarantine.Held {
		h.onHeld(record)
	}
}

// recordAnswered records that the back end answered a request without a server error, and clears
// the request if it was suspected.
func (h *harmfulRequests) recordAnswered(signature quarantine.Signature) {
	h.answeredRequests.Add(h.clock(), fingerprintOf(signature))
	if h.view.Load().Has(signature) {
		h.clear(signature)
	}
}

// clear marks a request as trusted again.
func (h *harmfulRequests) clear(signature quarantine.Signature) {
	h.update([]quarantine.Signature{signature}, h.table.Clear)
}

// fingerprintOf shortens a signature for the set of answered requests. If two requests share a
// fingerprint, one of them may be held one end later than necessary.
func fingerprintOf(signature quarantine.Signature) admission.Fingerprint {
	return admission.Fingerprint(signature.Key())
}

// MergeHarmful merges a peer's records of requests that may be harmful, and returns how many were
// invalid. A new record is sent to all daemons if the daemon's own back end answered the request
// before without a server error; the sent record then states this.
func (p *Proxy) MergeHarmful(records []quarantine.Record) (invalidCount int) {
	h := p.harmfulRequests
	h.mutex.Lock()
	now := h.clock()
	changed, notify := false, false
	for _, record := range records {
		isNew, valid := h.table.Merge(now, record)
		if !valid {
			invalidCount++
		}
		markedFamiliar := isNew && !record.Familiar && h.answeredRequests.Contains(fingerprintOf(record.Signature)) && h.table.MarkFamiliar(now, record.Signature)
		changed = changed || isNew
		if markedFamiliar {
			h.unpublishedRequests[record.Signature] = true
			notify = true
		}
	}
	if changed {
		h.publishView()
	}
	h.mutex.Unlock()
	if notify && h.onChanged != nil {
		h.onChanged(false)
	}
	return invalidCount
}

// HarmfulState returns the quarantine state of a request.
func (p *Proxy) HarmfulState(signature quarantine.Signature) quarantine.State {
	state, _ := p.harmfulRequests.view.Load().State(p.harmfulRequests.clock(), signature)
	return state
}

// ReleaseHarmful has all daemons trust a request again, until further back ends end under it.
func (p *Proxy) ReleaseHarmful(signature quarantine.Signature) {
	p.harmfulRequests.clear(signature)
}

// HarmfulRecords returns all records of requests that may be harmful.
func (p *Proxy) HarmfulRecords() []quarantine.Record {
	p.harmfulRequests.mutex.Lock()
	defer p.harmfulRequests.mutex.Unlock()
	return p.harmfulRequests.table.Records(p.harmfulRequests.clock())
}

// UnsentHarmful returns the records that have not been sent to other daemons, and marks them as
// sent.
func (p *Proxy) UnsentHarmful() []quarantine.Record {
	h := p.harmfulRequests
	h.mutex.Lock()
	defer h.mutex.Unlock()
	var records []quarantine.Record
	for signature := range h.unpublishedRequests {
		if record, found := h.table.Lookup(h.clock(), signature); found {
			records = append(records, record)
		}
	}
	clear(h.unpublishedRequests)
	return records
}

// HarmfulSum returns a checksum that is equal on daemons with equal records of harmful requests; 0
// for no records.
func (p *Proxy) HarmfulSum() uint64 {
	h := p.harmfulRequests
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
