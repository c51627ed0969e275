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
	"strconv"
	"sync"
	"time"

	"github.com/springstack/springstack/platform/standin"
)

// Half of the upstreams break off one answer in fifty.
const (
	garbledUpstreams = 0.5
	garbledAnswers   = 0.02
)

// The load: each client keeps a connection and sends some requests one behind another.
const (
	pipelineMachines    = 8
	clientsPerMachine   = 2
	requestsInARow      = 6
	pauseBetweenRows    = 250 * time.Millisecond
	longAnswerBytes     = 150 << 10
	pipelineRunTime     = 30 * time.Millisecond
	pipelineFor         = 25 * time.Second
	pipelineDeadline    = 2500 * time.Millisecond
	permittedUnanswered = 3
)

// pipelinedRequest is one request with what its client saw.
type pipelinedRequest struct {
	to *machine
	// kept is set if an earlier request of the connection had been answered.
	kept     bool
	answered bool
	// closed is set if the connection was closed before the answer was complete, at closedAt.
	closed   bool
	closedAt time.Time
}

// pipelinedLoad sends requests one behind another.
type pipelinedLoad struct {
	stand *stand

	mutex    sync.Mutex
	sent     int
	requests map[string]*pipelinedRequest
	// brokenOff holds the requests whose answer an upstream has broken off.
	brokenOff map[string]bool
}

// playPipelined has clients send requests one behind another while some upstreams break off some of
// their answers, and counts the requests that a sound upstream ran and whose connection the daemon
// closed without an answer.
func playPipelined(s *stand, trouble bool) (bool, error) {
	if err := s.startStore(); err != nil {
		return false, err
	}
	s.store.Operate(standin.Configuration{
		Version: 1, Services: []string{"status-desk"},
		Routes: []standin.Route{{
			Name: "status", Host: "desk.example", Prefix: "/status/", Kind: "safe", Service: "status-desk", Timeout: 2500, Attempts: 2,
		}},
		BodyBytes: 1 << 20, HeaderBytes: 16 << 10, IdleTimeout: 60000, HeaderTimeout: 5000,
	})
	zones := []string{"kol-a", "kol-b", "kol-c"}
	for index := range pipelineMachines {
		if _, err := s.addMachine(zones[index%len(zones)], "status-desk"); err != nil {
			return false, err
		}
	}
	load := &pipelinedLoad{stand: s, requests: map[string]*pipelinedRequest{}, brokenOff: map[string]bool{}}
	index := 0
	if err := s.startThese(s.machines, func(u *standin.Upstream) {
		garbles := trouble && float64(index) < garbledUpstreams*pipelineMachines
		u.Answer = load.answer(u, garbles)
		index++
	}); err != nil {
		return false, err
	}
	time.Sleep(3 * time.Second)
	ctx, cancel := context.WithTimeout(context.Background(), pipelineFor)
	defer cancel()
	var clients sync.WaitGroup
	for _, to := range s.machines {
		for range clientsPerMachine {
			clients.Add(1)
			go func() {
				defer clients.Done()
				load.client(ctx, to)
			}()
		}
	}
	clients.Wait()
	time.Sleep(time.Second)
	return load.judge(), nil
}

// answer returns the answers of an upstream. One that garbles breaks some of them off midway.
func (l *pipelinedLoad) answer(u *standin.Upstream, garbles bool) func(http.ResponseWriter, *http.Request) {
	return func(writer http.ResponseWriter, request *http.Request) {
		id := request.Header.Get("Request-Id")
		time.Sleep(pipelineRunTime)
		text := bytes.Repeat([]byte(id+" "), longAnswerBytes/(len(id)+1))
		writer.Header().Set(standin.SignatureHeader, standin.Signature(u.Instance, id))
		writer.Header().Set("Content-Length", strconv.Itoa(len(text)))
		if !garbles || rand.Float64() >= garbledAnswers {
			_, _ = writer.Write(text)
			return
		}
		l.mutex.Lock()
		l.brokenOff[id] = true
		l.mutex.Unlock()
		l.stand.record.event("broken off id=%s at=%s", id, u.Instance)
		_, _ = writer.Write(text[:len(text)*3/4])
		_ = http.NewResponseController(writer).Flush()
		panic(http.ErrAbortHandler)
	}
}

// client keeps a connection to a daemon and opens another one when that has ended.
func (l *pipelinedLoad) client(ctx context.Context, to *machine) {
	for ctx.Err() == nil {
		conn, err := net.DialTimeout("tcp", to.callers, time.Second)
		if err != nil {
			time.Sleep(50 * time.Millisecond)
			continue
		}
		reader := bufio.NewReader(conn)
		for kept := false; ctx.Err() == nil && l.sendRow(conn, reader, to, kept); kept = true {
			time.Sleep(pauseBetweenRows)
		}
		_ = conn.Close()
	}
}

// sendRow sends some requests one behind another and reads their answers. It returns false if the
// connection has ended.
func (l *pipelinedLoad) sendRow(conn net.Conn, reader *bufio.Reader, to *machine, kept bool) bool {
	var text bytes.Buffer
	var ids []string
	for range requestsInARow {
		id := l.newRequest(to, kept)
		ids = append(ids, id)
		fmt.Fprintf(&text, "GET /status/x HTTP/1.1\r\nHost: desk.example\r\nRequest-Id: %s\r\nDeadline-Milliseconds: %d\r\n\r\n", id, pipelineDeadline.Milliseconds())
	}
	_ = conn.SetDeadline(time.Now().Add(2 * pipelineDeadline))
	if _, err := conn.Write(text.Bytes()); err != nil {
		return false
	}
	for index, id := range ids {
		status, err := readAnswer(reader)
		if err != nil {
			l.noteClosed(ids[index:], err)
			return false
		}
		l.noteAnswered(id, status)
	}
	return true
}

// readAnswer reads one answer whole.
func readAnswer(reader *bufio.Reader) (int, error) {
	answer, err := http.ReadResponse(reader, nil)
	if err != nil {
		return 0, err
	}
	defer answer.Body.Close()
	_, err = io.Copy(io.Discard, answer.Body)
	return answer.StatusCode, err
}

func (l *pipelinedLoad) newRequest(to *machine, kept bool) string {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.sent++
	id := fmt.Sprintf("p-%06d", l.sent)
	l.requests[id] = &pipelinedRequest{to: to, kept: kept}
	l.stand.record.event("sent id=%s to=%s", id, to.name)
	return id
}

func (l *pipelinedLoad) noteAnswered(id string, status int) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.requests[id].answered = true
	l.stand.record.event("answered id=%s status=%d", id, status)
}

// noteClosed notes that the connection ended before the answers to some requests were complete. An end
// by the client's own deadline does not count.
func (l *pipelinedLoad) noteClosed(ids []string, err error) {
	if timeout, is := err.(net.Error); is && timeout.Timeout() {
		return
	}
	l.mutex.Lock()
	defer l.mutex.Unlock()
	for _, id := range ids {
		l.requests[id].closed = true
		l.requests[id].closedAt = time.Now()
	}
	l.stand.record.event("closed without an answer ids=%v error=%q", ids, err)
}

// judge counts, by machine, the requests of kept connections that an upstream ran without breaking its
// answer off, and whose connection was closed without an answer after that.
func (l *pipelinedLoad) judge() bool {
	l.stand.mutex.Lock()
	defer l.stand.mutex.Unlock()
	l.mutex.Lock()
	defer l.mutex.Unlock()
	unanswered := map[*machine]map[string]bool{}
	for _, arrival := range l.stand.arrivals {
		request := l.requests[arrival.ID]
		if request == nil || !arrival.Ran || l.brokenOff[arrival.ID] || !request.kept || !request.closed || request.closedAt.Before(arrival.At) {
			continue
		}
		if unanswered[request.to] == nil {
			unanswered[request.to] = map[string]bool{}
		}
		unanswered[request.to][arrival.ID] = true
	}
	l.stand.record.note("%d requests, %d answers broken off by upstreams", l.sent, len(l.brokenOff))
	broken := false
	for _, machine := range l.stand.machines {
		count := len(unanswered[machine])
		l.stand.record.note("%s: %d requests were run by a sound upstream, and their connection closed without an answer; %d permitted", machine.name, count, permittedUnanswered)
		broken = broken || count > permittedUnanswered
	}
	return broken
}
