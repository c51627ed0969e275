package main

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/springstack/springstack/platform/standin"
)

// The clients of the case, and how long after its close a request may still arrive.
const (
	goneMachines  = 6
	gonePerSecond = 100
	// The work of an upload is drawn evenly between the two; six slots each bear 60 a second.
	goneShortestRun   = 200 * time.Millisecond
	goneLongestRun    = 1000 * time.Millisecond
	goneBodyBytes     = 48 << 10
	goneTarget        = 2500 * time.Millisecond
	goneDeadline      = 6 * time.Second
	goneShare         = 0.3
	goneAfter         = 400 * time.Millisecond
	goneSlack         = 500 * time.Millisecond
	goneFor           = 30 * time.Second
	goneSpan          = 5 * time.Second
	permittedGoneRuns = 5
)

// goneTimes are when clients leave, for goneSpan each, from the start of the traffic.
var goneTimes = []time.Duration{8 * time.Second, 20 * time.Second}

// goneLoad sends uploads in chunks. Some of its clients leave.
type goneLoad struct {
	stand   *stand
	trouble bool
	began   time.Time
	senders sync.WaitGroup

	mutex sync.Mutex
	sent  int
	// closed holds when each client that left has closed its connection.
	closed map[string]time.Time
}

// playGone has a share of the clients close their connection while their upload waits for a slot, and
// counts those uploads that reach an upstream later than half a second after that.
func playGone(s *stand, trouble bool) (bool, error) {
	if err := s.startStore(); err != nil {
		return false, err
	}
	if err := s.operate(goneConfiguration); err != nil {
		return false, err
	}
	zones := []string{"tema-hall", "kaneshie-hall", "osu-hall", "spintex-hall"}
	for index := range goneMachines {
		if _, err := s.addMachine(zones[index%len(zones)], "papersheet"); err != nil {
			return false, err
		}
	}
	if err := s.startThese(s.machines, func(u *standin.Upstream) { u.WorkOn = drawnRun }); err != nil {
		return false, err
	}
	time.Sleep(3 * time.Second)
	load := &goneLoad{stand: s, trouble: trouble, began: time.Now(), closed: map[string]time.Time{}}
	ctx, cancel := context.WithTimeout(context.Background(), goneFor)
	defer cancel()
	for number := 0; ctx.Err() == nil; number++ {
		time.Sleep(time.Duration(rand.ExpFloat64() / gonePerSecond * float64(time.Second)))
		load.senders.Add(1)
		go func() {
			defer load.senders.Done()
			load.send(s.machines[number%len(s.machines)])
		}()
	}
	load.senders.Wait()
	time.Sleep(2 * time.Second)
	return load.judge(), nil
}

// goneConfiguration is the configuration as the operator writes it.
var goneConfiguration = fmt.Sprintf(`{
	"version": "00000001",
	"routes": [{
		"name": "r-scan", "host": "sheets.example", "path_prefix": "/scan/", "kind": "upload", "service": "papersheet",
		"timeout_ms": %d, "target_latency_ms": %d, "priority": 1, "max_attempts": 2
	}],
	"services": [{"name": "papersheet", "health_check_path": "/health", "max_connections": 130}],
	"limits": {"max_header_bytes": 16384, "max_body_bytes": 67108864, "header_timeout_ms": 3000, "idle_timeout_ms": 15000}
}`, goneDeadline.Milliseconds(), goneTarget.Milliseconds())

// drawnRun returns how long an upstream works on a request.
func drawnRun(string) time.Duration {
	return goneShortestRun + time.Duration(rand.Int64N(int64(goneLongestRun-goneShortestRun)))
}

// send uploads one body in chunks, all of which is written at once.
func (l *goneLoad) send(to *machine) {
	l.mutex.Lock()
	l.sent++
	id := fmt.Sprintf("g-%06d", l.sent)
	l.mutex.Unlock()
	conn, err := net.DialTimeout("tcp", to.callers, time.Second)
	if err != nil {
		return
	}
	defer conn.Close()
	body := bytes.Repeat([]byte(id+" "), goneBodyBytes/(len(id)+1))
	var text bytes.Buffer
	fmt.Fprintf(&text, "POST /scan/x HTTP/1.1\r\nHost: sheets.example\r\nRequest-Id: %s\r\nDeadline-Milliseconds: %d\r\nTransfer-Encoding: chunked\r\n\r\n", id, goneDeadline.Milliseconds())
	fmt.Fprintf(&text, "%x\r\n%s\r\n0\r\n\r\n", len(body), body)
	l.stand.record.event("sent id=%s to=%s", id, to.name)
	if _, err := conn.Write(text.Bytes()); err != nil {
		return
	}
	patience := goneDeadline
	if l.leaves() {
		patience = goneAfter
	}
	_ = conn.SetReadDeadline(time.Now().Add(patience))
	answer, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		_ = conn.Close()
		l.mutex.Lock()
		if patience < goneDeadline {
			l.closed[id] = time.Now()
		}
		l.mutex.Unlock()
		l.stand.record.event("closed id=%s after=%s error=%q", id, patience, err)
		return
	}
	defer answer.Body.Close()
	_, err = io.Copy(io.Discard, answer.Body)
	l.stand.record.event("answered id=%s status=%d whole=%t", id, answer.StatusCode, err == nil)
}

// leaves draws whether a client leaves early.
func (l *goneLoad) leaves() bool {
	if !l.trouble {
		return false
	}
	now := time.Since(l.began)
	for _, from := range goneTimes {
		if now >= from && now < from+goneSpan {
			return rand.Float64() < goneShare
		}
	}
	return false
}

// judge counts the requests that an upstream ran though their client had closed its connection for
// longer than goneSlack.
func (l *goneLoad) judge() bool {
	l.stand.mutex.Lock()
	defer l.stand.mutex.Unlock()
	l.mutex.Lock()
	defer l.mutex.Unlock()
	late, latest := 0, time.Duration(0)
	for _, arrival := range l.stand.arrivals {
		left, has := l.closed[arrival.ID]
		if !has || !arrival.Ran || arrival.At.Sub(left) <= goneSlack {
			continue
		}
		late++
		latest = max(latest, arrival.At.Sub(left))
	}
	l.stand.record.note("%d uploads, %d clients left", l.sent, len(l.closed))
	l.stand.record.note("%d uploads reached an upstream and ran there over %s after their client had left, the latest %.2f s after; %d permitted",
		late, goneSlack, latest.Seconds(), permittedGoneRuns)
	return late > permittedGoneRuns
}
