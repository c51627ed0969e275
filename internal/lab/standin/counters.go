package standin

import (
	"time"

	"github.com/springstack/springstack/internal/core/object"
)

// Counters is what a Service has counted since its start.
type Counters struct {
	// Readers is how many readers there are, ReadersMax the most there were.
	Readers    int `json:"readers"`
	ReadersMax int `json:"readers_max"`
	// Calls counts calls and opened watches; CallsPerSecondMax is the most in
	// one second.
	Calls             uint64 `json:"calls"`
	CallsPerSecondMax uint64 `json:"calls_per_second_max"`
	// BytesIn and BytesOut count the values written and read, in bytes.
	BytesIn  uint64 `json:"bytes_in"`
	BytesOut uint64 `json:"bytes_out"`
	// Version is the newest object version.
	Version uint64 `json:"version"`
}

// callRate counts calls and bytes, and calls by whole seconds.
type callRate struct {
	total      Counters
	second     time.Duration
	thisSecond uint64
}

// count notes one call or opened watch.
func (r *callRate) count(now time.Duration) {
	second := now.Truncate(time.Second)
	if second != r.second {
		r.second = second
		r.thisSecond = 0
	}
	r.thisSecond++
	r.total.Calls++
	r.total.CallsPerSecondMax = max(r.total.CallsPerSecondMax, r.thisSecond)
}

func (r *callRate) call(now time.Duration, call object.Call) {
	r.count(now)
	r.total.BytesIn += uint64(len(call.Data))
}

func (r *callRate) watch(now time.Duration) { r.count(now) }

func (r *callRate) answer(reply object.Reply) {
	r.total.BytesOut += uint64(len(reply.Object.Data))
	for _, listed := range reply.Objects {
		r.total.BytesOut += uint64(len(listed.Data))
	}
}

func (r *callRate) events(events []object.Event) {
	for _, event := range events {
		r.total.BytesOut += uint64(len(event.Object.Data))
	}
}

func (r *callRate) counters() Counters { return r.total }
