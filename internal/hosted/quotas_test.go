package hosted

import (
	"math"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/springstack/springstack/internal/control"
	"github.com/springstack/springstack/internal/core/protocol"
	"github.com/springstack/springstack/internal/core/quota"
	"github.com/springstack/springstack/internal/core/tenancy"
)

// newTestQuotas returns the quotas of a daemon beside others, with one limited tenant. Its clock is
// set by the returned function.
func newTestQuotas(others ...protocol.Member) (*quotas, func(time.Duration)) {
	now := time.Duration(0)
	mesh := newTestMesh("z1", others...)
	mesh.clock = func() time.Duration { return now }
	mesh.client = control.NewClient(nil, controlLimits(), control.NewMeter())
	tenant := &tenancy.Tenant{Name: "limited", Quota: tenancy.Quota{PerSecond: 10, Burst: 10}}
	made := newQuotas(mesh, quota.Tolerance{Window: 5 * time.Second, Slack: 20}, func(name string) *tenancy.Tenant {
		if name == tenant.Name {
			return tenant
		}
		return nil
	})
	return made, func(at time.Duration) { now = at }
}

func TestInvalidQuotaRequestLeasesNothing(t *testing.T) {
	made, _ := newTestQuotas()
	defer made.mesh.client.Close()
	valid := protocol.QuotaRequest{From: "a", Tenant: "limited", Shards: 1, Wanted: 1}
	is.New(t).True(made.handleRequest(&valid).IsCounter)
	for name, change := range map[string]func(*protocol.QuotaRequest){
		"unknown tenant":  func(request *protocol.QuotaRequest) { request.Tenant = "other" },
		"nothing wanted":  func(request *protocol.QuotaRequest) { request.Wanted = 0 },
		"negative number": func(request *protocol.QuotaRequest) { request.Wanted = math.MinInt },
		"no shards":       func(request *protocol.QuotaRequest) { request.Shards = 0 },
		"too many shards": func(request *protocol.QuotaRequest) { request.Shards = math.MaxInt },
		"shard too high":  func(request *protocol.QuotaRequest) { request.Shard = 1 },
		"negative shard":  func(request *protocol.QuotaRequest) { request.Shard = -1 },
	} {
		t.Run(name, func(t *testing.T) {
			check := is.New(t)
			request := valid
			change(&request)
			reply := made.handleRequest(&request)
			check.True(!reply.IsCounter)
			check.Equal(reply.Tokens, 0)
		})
	}
	absurd := valid
	absurd.Wanted = math.MaxInt
	is.New(t).True(made.handleRequest(&absurd).Tokens <= 15)
}

// Guards against two daemons that keep the same counter at once.
func TestCounterIsTakenOverOnlyAfterADelay(t *testing.T) {
	check := is.New(t)
	made, setClock := newTestQuotas(aliveMember("a", "z1"), aliveMember("b", "z1"))
	defer made.mesh.client.Close()
	key := counterKey{tenant: "limited", shard: quota.Shard{Count: quota.MaxShards}}
	for made.rankCounters(key)[0].ID == made.mesh.self.ID {
		key.shard.Index++
	}
	var before []protocol.NodeID
	for _, candidate := range made.rankCounters(key) {
		if candidate.ID == made.mesh.self.ID {
			break
		}
		before = append(before, candidate.ID)
	}
	check.True(len(before) > 0)
	check.True(!made.isCounter(key))
	for _, id := range before {
		made.recordAnswer(id, false)
	}
	setClock(takeoverDelay - 1)
	check.True(!made.isCounter(key))
	setClock(takeoverDelay)
	check.True(made.isCounter(key))
	for _, id := range before {
		made.recordAnswer(id, true)
	}
	check.True(!made.isCounter(key))
}
