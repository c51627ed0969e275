package ledger_test

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	"github.com/springstack/springstack/internal/core/ledger"
	"github.com/springstack/springstack/internal/core/protocol"
	"github.com/springstack/springstack/internal/core/resource"
	"github.com/springstack/springstack/internal/result"
)

// The workload: 190 services of two partners, one file each, and 2,300 changes
// a day for a year.
const (
	yearServices    = 190
	changesPerDay   = 2_300
	yearOfChanges   = 365 * changesPerDay
	shortRunChanges = 2_000
	// measureInterval is the number of changes between two measurements of the
	// head.
	measureInterval = 10
)

// yearRun applies random changes from a fixed seed and records the size of the
// largest head.
type yearRun struct {
	chain
	random      *rand.Rand
	changeCount int
	largestHead int
	countByCode map[result.Code]int
}

// body returns the file of one service: the service, its back ends, a secret and
// a route. Some routes lead to another service, which may not exist.
func (y *yearRun) body(service int) string {
	target := service
	if y.random.IntN(20) == 0 {
		target = y.random.IntN(yearServices + 1)
	}
	var text strings.Builder
	fmt.Fprintf(&text, "services: [{name: s%d, export_to: [%s]}]\nbackends:\n", service, otherPartner(service))
	for backend := range 6 {
		fmt.Fprintf(&text, "  - {name: s%d-%d, service: s%d, address: '10.0.%d.%d:8080', region: windhoek, zone: klein-hall, slots: %d}\n",
			service, backend, service, service, backend+1, 1+y.random.IntN(1000))
	}
	fmt.Fprintf(&text, "secrets: [{name: s%d, value: v%d}]\n", service, y.random.IntN(1_000_000))
	fmt.Fprintf(&text, "routes: [{name: s%d, match: {path_prefix: /s%d}, split: [{service: %s/s%d}]}]\n", service, service, owningPartner(target), target)
	return text.String()
}

func owningPartner(service int) string { return [...]string{"adomako", "kameeldoring"}[service%2] }

func otherPartner(service int) string { return owningPartner(service + 1) }

// step applies one change: mostly replacements, some withdrawals and first
// submissions. Some changes are sent twice.
func (y *yearRun) step() {
	service := y.random.IntN(yearServices)
	key := fmt.Sprintf("%s/f%d", owningPartner(service), service)
	_, found := y.head.File(resource.FileKey{Partner: resource.Partner(owningPartner(service)), Name: fmt.Sprintf("f%d", service)})
	var request *protocol.SubmitRequest
	switch {
	case !found:
		request = y.newRequest(protocol.ActionSubmit, key, y.body(service))
	case y.random.IntN(50) == 0:
		request = y.newRequest(protocol.ActionWithdraw, key, "")
	default:
		request = y.newRequest(protocol.ActionReplace, key, y.body(service))
	}
	reply := y.send(request)
	y.countByCode[reply.Code]++
	if y.random.IntN(50) == 0 {
		resent := y.send(request)
		if reply.Code == result.OK && (resent.Version != reply.Version || resent.Revision != reply.Revision) {
			y.t.Fatalf("reply %+v to a resend, want the first reply %+v", resent, reply)
		}
	}
	y.now = y.now.Add(24*time.Hour/changesPerDay - time.Second)
	y.changeCount++
	if y.changeCount%measureInterval == 0 {
		y.measure()
	}
}

// measure records the size of the encoded head, checks it against the budget
// and, every 1,000 changes, decodes it and checks the contents.
func (y *yearRun) measure() {
	encoded := ledger.Encode(y.head)
	y.largestHead = max(y.largestHead, len(encoded))
	if len(encoded) > ledger.HeadBudget {
		y.t.Fatalf("the head has %d bytes after %d changes, which exceeds its budget", len(encoded), y.changeCount)
	}
	if y.changeCount%1000 != 0 {
		return
	}
	if _, err := ledger.Decode(encoded); err != nil {
		y.t.Fatalf("%v", err)
	}
	if len(ledger.MissingContents(y.head, y.contents)) > 0 || len(y.contents) > 2*yearServices {
		y.t.Fatalf("%d contents for %d files", len(y.contents), len(y.head.Files))
	}
}

func runYear(t fataler, changes int) *yearRun {
	y := &yearRun{chain: *newChain(t), random: rand.New(rand.NewPCG(1, 2)), countByCode: map[result.Code]int{}}
	for y.changeCount < changes {
		y.step()
	}
	return y
}

func TestHeadStaysBounded(t *testing.T) {
	y := runYear(t, shortRunChanges)
	if y.countByCode[result.OK] < shortRunChanges/2 || y.countByCode[result.Held] == 0 || y.countByCode[result.StillNeeded] == 0 {
		t.Fatalf("the workload has too few of some result codes: %v", y.countByCode)
	}
	t.Logf("%d changes, largest head %d bytes, answers %v", y.changeCount, y.largestHead, y.countByCode)
}

// yearChanges is how many changes the benchmark runs.
var yearChanges = flag.Int("year-changes", yearOfChanges, "how many changes BenchmarkYearOfChanges runs")

// BenchmarkYearOfChanges runs the whole year:
//
//	go test ./internal/core/ledger -run - -bench Year -benchtime 1x -timeout 1h
func BenchmarkYearOfChanges(b *testing.B) {
	for b.Loop() {
		y := runYear(b, *yearChanges)
		b.ReportMetric(float64(y.largestHead), "largest_head_bytes")
		b.ReportMetric(float64(y.head.Version), "versions")
		b.ReportMetric(float64(len(y.head.Operations)), "operations_at_end")
		b.Logf("answers by code: %v", y.countByCode)
	}
}
