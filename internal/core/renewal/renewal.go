// Package renewal decides when the connections that a daemon keeps for long are made anew. One that
// is found dead, because a new connection to the same place was answered and it was not, says that
// others which were opened before may be dead as well: the state of a firewall, an address
// translation or a route is lost for many connections at once, and each of them tells nothing.
package renewal

import "time"

// Pause is the least time between two renewals, so that a place whose connections die again and
// again costs a bounded number of new ones.
const MinInterval = time.Second

// Decider decides on renewals. The zero value has seen none. It is not safe for concurrent use.
type Scheduler struct {
	renewed   bool
	renewedAt time.Duration
	// due is set while a renewal waits for its time.
	due bool
}

// Dead takes that a connection opened at a time was found dead. It tells whether the connections
// that were opened before are to be renewed, and after what time; Renew is to be called then.
func (d *Scheduler) ReportDead(now, opened time.Duration) (wait time.Duration, renew bool) {
	if d.due || d.renewed && opened < d.renewedAt {
		return 0, false // a renewal covers it
	}
	d.due = true
	if !d.renewed {
		return 0, true
	}
	return max(0, d.renewedAt+MinInterval-now), true
}

// Renew notes that connections opened before now are made anew.
func (d *Scheduler) MarkRenewed(now time.Duration) {
	d.renewed = true
	d.renewedAt = now
	d.due = false
}
