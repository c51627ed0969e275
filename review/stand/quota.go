package main

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/springstack/springstack/platform/standin"
)

// The bounds of the deployment whose tenants have quotas, and the quota of each tenant.
const (
	quotaWindow  = 5 * time.Second
	quotaOverage = 0.1
	quotaSlack   = 20
	tenantRate   = 60
	tenantBurst  = 30
	tenantCount  = 8
)

// The moments of the case, from the start of the traffic.
const (
	cutAt  = 6 * time.Second
	cutFor = 12 * time.Second
	endAt  = 21 * time.Second
)

// How many requests a second each tenant sends at the machine that is cut off, and at the others.
const (
	sentAtOne    = 50
	sentAtOthers = 70
)

// quotaRequest is one request of a tenant.
type quotaRequest struct {
	tenant int
	sentAt time.Time
}

// playQuota cuts one machine off while tenants send at it and at the others, and compares what
// their upstreams run in each window with the quotas.
func playQuota(s *stand, trouble bool) (bool, error) {
	s.extra = fmt.Sprintf("quotas: {window_seconds: %g, overage: %g, slack: %d}\n", quotaWindow.Seconds(), quotaOverage, quotaSlack)
	if err := s.startStore(); err != nil {
		return false, err
	}
	s.store.Operate(quotaConfiguration())
	zones := []string{"tema-hall", "kaneshie-hall", "osu-hall", "spintex-hall"}
	for index := range 12 {
		if _, err := s.addMachine(zones[index%len(zones)], "crewclock"); err != nil {
			return false, err
		}
	}
	one := s.machines[0]
	one.mayBeCut = true
	if err := s.startThese(s.machines, nil); err != nil {
		return false, err
	}
	time.Sleep(3 * time.Second)
	load := &quotaLoad{stand: s, requests: map[string]quotaRequest{}}
	ctx, cancel := context.WithTimeout(context.Background(), endAt)
	defer cancel()
	if trouble {
		go func() {
			time.Sleep(cutAt)
			one.cut.Store(true)
			s.record.note("%s is cut off from the other machines", one.name)
			time.Sleep(cutFor)
			one.cut.Store(false)
			s.record.note("the cut has healed")
		}()
	}
	load.run(ctx, one, s.machines[1:])
	time.Sleep(time.Second)
	return load.judge(), nil
}

func quotaConfiguration() standin.Configuration {
	made := standin.Configuration{
		Version: 1, Services: []string{"crewclock"},
		Routes: []standin.Route{{
			Name: "lookup", Host: "ledger.example", Prefix: "/lookup/", Kind: "safe", Service: "crewclock", Timeout: 1500, Attempts: 3,
		}},
		BodyBytes: 1 << 20, HeaderBytes: 16 << 10, IdleTimeout: 60000, HeaderTimeout: 5000,
	}
	for tenant := range tenantCount {
		made.Tenants = append(made.Tenants, standin.Tenant{
			Name: tenantName(tenant), Keys: []string{keyOf(tenant)}, Rate: tenantRate, Burst: tenantBurst,
		})
	}
	return made
}

func tenantName(tenant int) string { return fmt.Sprintf("tenant-%d", tenant) }

func keyOf(tenant int) string { return fmt.Sprintf("key-of-%d", tenant) }

// quotaLoad sends the requests of the tenants.
type quotaLoad struct {
	stand *stand
	// senders counts the requests that are under way.
	senders sync.WaitGroup

	mutex    sync.Mutex
	requests map[string]quotaRequest
	sent     int
}

// run sends requests until the context ends, and waits for their answers.
func (l *quotaLoad) run(ctx context.Context, one *machine, others []*machine) {
	for tenant := range tenantCount {
		l.senders.Add(2)
		go l.sendSteadily(ctx, tenant, sentAtOne, []*machine{one})
		go l.sendSteadily(ctx, tenant, sentAtOthers, others)
	}
	l.senders.Wait()
}

// sendSteadily sends a number of requests a second, to the machines in turn.
func (l *quotaLoad) sendSteadily(ctx context.Context, tenant, perSecond int, machines []*machine) {
	defer l.senders.Done()
	ticker := time.NewTicker(time.Second / time.Duration(perSecond))
	defer ticker.Stop()
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 32}}
	for number := 0; ; number++ {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		l.senders.Add(1)
		go func() {
			defer l.senders.Done()
			l.send(client, tenant, machines[number%len(machines)])
		}()
	}
}

// send sends one request and reads its answer.
func (l *quotaLoad) send(client *http.Client, tenant int, to *machine) {
	const deadline = 1500 * time.Millisecond
	l.mutex.Lock()
	l.sent++
	id := fmt.Sprintf("t%d-%06d", tenant, l.sent)
	l.requests[id] = quotaRequest{tenant: tenant, sentAt: time.Now()}
	l.mutex.Unlock()
	l.stand.record.event("sent id=%s to=%s tenant=%s", id, to.name, tenantName(tenant))
	ctx, cancel := context.WithTimeout(context.Background(), deadline)
	defer cancel()
	request, err := standin.NewRequest(ctx, http.MethodGet, to.callers, "ledger.example", "/lookup/x", id, deadline, nil)
	if err != nil {
		return
	}
	request.Header.Set(standin.KeyHeader, standin.KeyLine(keyOf(tenant)))
	answer, err := client.Do(request)
	if err != nil {
		l.stand.record.event("failed id=%s error=%q", id, err)
		return
	}
	defer answer.Body.Close()
	_, err = io.Copy(io.Discard, answer.Body)
	l.stand.record.event("answered id=%s status=%d whole=%t", id, answer.StatusCode, err == nil)
}

// judge compares, for each tenant and each window, the requests that were both sent and run in it
// with what the rule permits, and reports whether any window exceeds that.
func (l *quotaLoad) judge() bool {
	permitted := (tenantRate*quotaWindow.Seconds()+tenantBurst)*(1+quotaOverage) + quotaSlack
	runs := make([][]quotaRun, tenantCount)
	l.stand.mutex.Lock()
	for _, arrival := range l.stand.arrivals {
		if request, known := l.requests[arrival.ID]; known && arrival.Ran {
			runs[request.tenant] = append(runs[request.tenant], quotaRun{sent: request.sentAt, ran: arrival.At})
		}
	}
	l.stand.mutex.Unlock()
	broken := false
	for tenant, made := range runs {
		worst := worstWindow(made)
		l.stand.record.note("%s: %d requests run in its worst window, %.0f permitted", tenantName(tenant), worst, permitted)
		broken = broken || float64(worst) > permitted
	}
	return broken
}

// quotaRun is one run of a request: when it was sent and when it arrived.
type quotaRun struct{ sent, ran time.Time }

// worstWindow returns the largest number of runs whose request was sent and arrived in one window.
func worstWindow(runs []quotaRun) int {
	slices.SortFunc(runs, func(a, b quotaRun) int { return a.sent.Compare(b.sent) })
	worst := 0
	for first := range runs {
		end := runs[first].sent.Add(quotaWindow)
		count := 0
		for _, run := range runs[first:] {
			if run.sent.After(end) {
				break
			}
			if !run.ran.After(end) {
				count++
			}
		}
		worst = max(worst, count)
	}
	return worst
}
