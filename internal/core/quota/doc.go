// Package quota limits the calls of a tenant over all daemons together. For each tenant one daemon
// keeps a Counter, a token bucket, from which the other daemons lease the permissions for their
// calls. A daemon that does not reach the counter may spend a small share of the quota alone; the
// counter reserves the shares of the daemons that it does not hear. The package does no input or
// output and reads no clock.
package quota

import (
	"time"

	"github.com/springstack/springstack/internal/core/tenancy"
)

// aloneShare is the part of its equal share of a quota that a daemon may spend without a lease.
const aloneShare = 0.5

// Tolerance is by how much the calls of a tenant within a window may exceed its quota.
type Tolerance struct {
	// Window is the length of the window; 0 means one second.
	Window time.Duration
	// Overage is a fraction of the calls that the quota allows in the window.
	Overage float64
	// Slack is a number of calls per window.
	Slack float64
}

// seconds returns the length of the window in seconds.
func (t Tolerance) seconds() float64 { return max(t.Window.Seconds(), 1) }

// counterPart is the part of what the tolerance permits on top of a quota that counters lease. The
// rest covers tokens that are spent later than leased, changes of counters, and daemons without
// contact.
const counterPart = 0.25

// allowed returns the number of calls that a quota allows in a window.
func (t Tolerance) allowed(quota tenancy.Quota) float64 {
	return quota.PerSecond*t.seconds() + quota.Burst
}

// extra returns the number of calls in a window that the tolerance permits on top of a quota.
func (t Tolerance) extra(quota tenancy.Quota) float64 { return t.Overage*t.allowed(quota) + t.Slack }

// leased returns the number of calls that a counter may lease in a window.
func (t Tolerance) leased(quota tenancy.Quota) float64 {
	return max(t.allowed(quota)+counterPart*t.extra(quota), 1)
}

// depth returns how many tokens a counter may hold.
func (t Tolerance) depth(quota tenancy.Quota) float64 {
	return max(quota.Burst+counterPart*t.Slack, 1)
}

// leaseWindow returns the time in which tokens count that may be spent in one window.
func (t Tolerance) leaseWindow() time.Duration {
	return time.Duration(t.seconds()*float64(time.Second)) + leaseValidity
}

// reserved returns the number of calls in a window that a counter must not lease because daemons that
// it does not hear may spend them alone. silent is the fraction of such daemons. What they may spend is
// compared with half of what the tolerance permits on top of the quota.
func (t Tolerance) reserved(quota tenancy.Quota, silent float64) float64 {
	return max(0, aloneShare*silent*t.allowed(quota)-t.extra(quota)/2)
}
