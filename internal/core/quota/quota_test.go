package quota

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/springstack/springstack/internal/core/protocol"
	"github.com/springstack/springstack/internal/core/tenancy"
)

var (
	testQuota     = tenancy.Quota{PerSecond: 100, Burst: 100}
	testTolerance = Tolerance{Window: 5 * time.Second, Overage: 0.1, Slack: 20}
)

func TestCounterLeasesNoMoreThanRateAndBurst(t *testing.T) {
	check := is.New(t)
	counter := NewCounter(0, testQuota, testTolerance)
	leased := 0
	for now := time.Duration(0); now <= 5*time.Second; now += 10 * time.Millisecond {
		for daemon := range 10 {
			leased += counter.Request(now, testQuota, protocol.NodeID(fmt.Sprint(daemon)), 5, 10).Tokens
		}
	}
	check.True(leased <= 500+5) // a counter that has just begun
	check.True(leased >= 500)
	for now := 5 * time.Second; now <= 60*time.Second; now += 10 * time.Millisecond {
		for daemon := range 10 {
			leased += counter.Request(now, testQuota, protocol.NodeID(fmt.Sprint(daemon)), 5, 10).Tokens
		}
		if now%(5*time.Second) == 0 {
			check.True(leased <= 600+80/4)
			leased = 0
		}
	}
}

func TestCounterReservesWhatSilentDaemonsMaySpendAlone(t *testing.T) {
	check := is.New(t)
	check.Equal(testTolerance.reserved(testQuota, 0.1), 0.0)     // covered by overage and slack
	check.Equal(testTolerance.reserved(testQuota, 1), 260.0)     // 600 / 2 - 80 / 2
	check.Equal(Tolerance{}.reserved(testQuota, 0.5), 50.0)      // nothing beyond the quota is permitted
	check.Equal(testTolerance.reserved(tenancy.Quota{}, 1), 0.0) // no limit
}

func TestRefusedLeaseTellsWhenTokensAreBack(t *testing.T) {
	check := is.New(t)
	counter := NewCounter(0, tenancy.Quota{PerSecond: 2, Burst: 1}, Tolerance{})
	check.Equal(counter.Request(0, tenancy.Quota{PerSecond: 2, Burst: 1}, "a", 1, 1).Tokens, 1)
	refused := counter.Request(0, tenancy.Quota{PerSecond: 2, Burst: 1}, "a", 1, 1)
	check.Equal(refused, Lease{RetryAfter: 500 * time.Millisecond})
	check.Equal(counter.Request(refused.RetryAfter, tenancy.Quota{PerSecond: 2, Burst: 1}, "a", 1, 1).Tokens, 1)
}

func TestLoweredQuotaBindsTheCounterAtOnce(t *testing.T) {
	check := is.New(t)
	counter := NewCounter(0, testQuota, testTolerance)
	low := tenancy.Quota{PerSecond: 1, Burst: 1}
	leased := 0
	for now := time.Second; now < 11*time.Second; now += 10 * time.Millisecond {
		leased += counter.Request(now, low, "a", 10, 1).Tokens
	}
	check.True(leased <= 10+1+11) // rate, burst, half of the tolerance
}

func TestInvalidRequestLeasesNothing(t *testing.T) {
	check := is.New(t)
	counter := NewCounter(0, testQuota, testTolerance)
	for _, wanted := range []int{0, -1, -1 << 60} {
		check.Equal(counter.Request(0, testQuota, "a", wanted, 1).Tokens, 0)
	}
	check.True(counter.Request(0, testQuota, "a", 1<<60, 1).Tokens <= 100)
}

func TestLeasedTokensLapseAndReturnedOnesAreSpentAgain(t *testing.T) {
	check := is.New(t)
	account := NewAccount("t", "d")
	decision, _ := account.Take(0)
	check.Equal(decision, Undecided)
	check.True(account.Apply(0, Lease{Tokens: 3})) // spends one
	decision, _ = account.Take(time.Millisecond)
	check.Equal(decision, Passed)
	account.Return()
	for range 2 {
		decision, _ = account.Take(time.Millisecond)
		check.Equal(decision, Passed)
	}
	decision, _ = account.Take(time.Millisecond)
	check.Equal(decision, Undecided)
	check.True(account.Apply(0, Lease{Tokens: 2}))
	decision, _ = account.Take(leaseValidity)
	check.Equal(decision, Undecided)
}

func TestRefusalHoldsForItsTimeOnly(t *testing.T) {
	check := is.New(t)
	account := NewAccount("t", "d")
	check.True(!account.Apply(0, Lease{RetryAfter: 100 * time.Millisecond}))
	decision, wait := account.Take(40 * time.Millisecond)
	check.Equal(decision, Refused)
	check.Equal(wait, 60*time.Millisecond)
	decision, _ = account.Take(100 * time.Millisecond)
	check.Equal(decision, Undecided)
}

// Guards against each daemon's own share adding up to more than the quota when none has contact.
func TestDaemonsWithoutContactTogetherSpendLessThanTheQuota(t *testing.T) {
	for _, daemons := range []int{3, 76, 985} {
		for _, perSecond := range []float64{3, 30, 400} {
			check := is.New(t)
			stated := tenancy.Quota{PerSecond: perSecond, Burst: perSecond}
			spent := 0
			for daemon := range daemons {
				account := NewAccount("t", protocol.NodeID(fmt.Sprint(daemon)))
				for now := time.Duration(0); now < 5*time.Second; now += 20 * time.Millisecond {
					if passed, _ := account.TakeAlone(now, stated, daemons); passed {
						spent++
					}
				}
			}
			check.True(float64(spent) <= perSecond*5+perSecond)
		}
	}
}

// Guards against a call that is refused although a token was leased for it, because another call has
// taken the token meanwhile.
func TestLeaseForOneCallIsSpentByThatCall(t *testing.T) {
	check := is.New(t)
	account := NewAccount("t", "d")
	check.True(account.Apply(0, Lease{Tokens: 1}))
	decision, _ := account.Take(time.Millisecond)
	check.Equal(decision, Undecided)
}
