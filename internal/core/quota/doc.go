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
// rest covers tokens that are spent later than leased, and daemons without contact.
const counterPart = 0.5

// extra returns the number of calls in a window that the tolerance permits on top of a quota.
func (t Tolerance) extra(quota tenancy.Quota) float64 {
	return t.Overage*(quota.PerSecond*t.seconds()+quota.Burst) + t.Slack
}

// depth returns how many tokens a counter may hold. Calls come in clusters, and a burst of a few calls
// would be too small for many tenants.
func (t Tolerance) depth(quota tenancy.Quota) float64 {
	return max(quota.Burst+counterPart*t.extra(quota), 1)
}

// reservedRate returns the rate, in calls per second, that a counter must not lease because daemons
// that it does not hear may spend it alone. silent is the fraction of such daemons. What they may
// spend is compared with the rest of what the tolerance permits on top of the quota.
func (t Tolerance) reservedRate(quota tenancy.Quota, silent float64) float64 {
	allowedInWindow := quota.PerSecond*t.seconds() + quota.Burst
	spentAlone := aloneShare * silent * allowedInWindow
	return max(0, spentAlone-(1-counterPart)*t.extra(quota)) / t.seconds()
}
