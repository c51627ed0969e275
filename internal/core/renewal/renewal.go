// Package renewal decides when a daemon re-establishes its long-lived connections. When one of them
// is found dead, because a new connection to the same address is answered and the old one is not,
// others that were opened before may be dead as well: the loss of firewall, address-translation or
// routing state affects many connections at once without any of them reporting an error.
package renewal

import "time"

// MinInterval is the minimum time between two renewals. It bounds the number of new connections if
// those to one address keep failing.
const MinInterval = time.Second

// Scheduler schedules renewals. The zero value is ready for use. It is not safe for concurrent use.
type Scheduler struct {
	// hasRenewed is set by the first renewal; renewedAt is the time of the latest.
	hasRenewed bool
	renewedAt  time.Duration
	// isScheduled is set from when a renewal is scheduled until it is done.
	isScheduled bool
}

// ReportDead reports a dead connection that was opened at the given time. If renew is true, the
// caller must renew all connections after wait, and then call MarkRenewed. Otherwise a renewal that
// is scheduled or done already covers the connection.
func (s *Scheduler) ReportDead(now, opened time.Duration) (wait time.Duration, renew bool) {
	if s.isScheduled || s.hasRenewed && opened < s.renewedAt {
		return 0, false // covered by a scheduled or completed renewal
	}
	s.isScheduled = true
	if !s.hasRenewed {
		return 0, true
	}
	return max(0, s.renewedAt+MinInterval-now), true
}

// MarkRenewed records that all connections opened before now have been renewed.
func (s *Scheduler) MarkRenewed(now time.Duration) {
	s.hasRenewed = true
	s.renewedAt = now
	s.isScheduled = false
}
