package soak

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/springstack/springstack/internal/pause"
	"github.com/springstack/springstack/platform/standin"
)

const (
	// host is the host of all routes.
	host = "soak.example"
	// clientPause is the mean time between two requests of one client.
	clientPause = 25 * time.Millisecond
	// probePause is the time between two probes of a daemon's version.
	probePause = 100 * time.Millisecond
	// patience is how long a client waits for its answer.
	patience = 2 * time.Second
	// healWait is how long all may take to serve again once faults are gone.
	healWait = 20 * time.Second
)

// client sends requests to one daemon on kept connections.
func (s *soak) client(ctx context.Context, on *machine, index int) {
	transport := &http.Transport{MaxIdleConnsPerHost: 2}
	defer transport.CloseIdleConnections()
	for count := 0; ctx.Err() == nil; count++ {
		request := Request{
			ID: fmt.Sprintf("%s-%d-%d", on.name, index, count), Machine: on.name, Service: on.service,
			Method: http.MethodGet, Target: fmt.Sprintf("%s%d?x=%%20%d", readPrefix, index, count), Repeatable: true,
			Timeout: readTimeout,
		}
		if count%3 == 0 {
			request.Method = http.MethodPost
			request.Target = fmt.Sprintf("%s/%d", writePrefix, count)
			request.Timeout = writeTimeout
			request.Body = strings.Repeat("b", 1+count%3000)
			request.Repeatable = false
		}
		answer := s.exchange(ctx, transport, on, request)
		s.mutex.Lock()
		s.requests++
		if answer.Status == http.StatusOK {
			s.served++
		}
		s.mutex.Unlock()
		pause.For(ctx, clientPause)
	}
}

// exchange sends a request and judges its answer.
func (s *soak) exchange(ctx context.Context, transport *http.Transport, on *machine, request Request) Answer {
	bounded, cancel := context.WithTimeout(ctx, patience)
	defer cancel()
	request.SentAt, request.Deadline = time.Now(), patience
	s.oracle.Sent(request)
	sent, err := standin.NewRequest(bounded, request.Method, on.callers, host, request.Target, request.ID, patience, strings.NewReader(request.Body))
	if err != nil {
		return Answer{}
	}
	sent.GetBody = nil // nothing is sent twice under one id
	got, err := transport.RoundTrip(sent)
	if err != nil {
		s.lost(ctx, request)
		return Answer{}
	}
	defer got.Body.Close()
	body, err := io.ReadAll(got.Body)
	if err != nil {
		s.lost(ctx, request)
		return Answer{}
	}
	answer := Answer{
		Status: got.StatusCode, Signature: got.Header.Get(standin.SignatureHeader), Body: string(body), At: time.Now(),
	}
	s.oracle.Answered(request, answer)
	return answer
}

// lost notes a request that got no whole answer, unless the client itself left.
func (s *soak) lost(ctx context.Context, request Request) {
	if ctx.Err() == nil {
		s.oracle.Lost(request, time.Now())
	}
}

// prober asks a daemon for the newest version and the one that it showed last.
func (s *soak) prober(ctx context.Context, on *machine) {
	transport := &http.Transport{DisableKeepAlives: true}
	shown := 0
	for count := 0; ctx.Err() == nil; count++ {
		version, accepted := s.newest()
		start := on.startName()
		for _, asked := range []int{version, shown} {
			if asked == 0 {
				continue
			}
			request := Request{
				ID: fmt.Sprintf("probe-%s-%d-%d", on.name, count, asked), Machine: on.name, Service: on.service,
				Method: http.MethodGet, Target: versionPrefix(asked), Repeatable: true,
				Timeout: readTimeout,
			}
			sentAt := time.Now()
			answer := s.exchange(ctx, transport, on, request)
			newest, _ := s.newest()
			switch {
			case start != on.startName():
			case answer.Status == http.StatusOK:
				shown = max(shown, asked)
				s.oracle.Shown(start, asked, sentAt, answer.At)
			case answer.Status == statusNotFound && asked == version && newest == version:
				s.oracle.NotInForce(on.name, version, accepted, sentAt)
			}
		}
		pause.For(ctx, probePause)
	}
}

// awaitHealed waits until every daemon is ready and serves the newest version.
func (s *soak) awaitHealed(when string) {
	ctx, cancel := context.WithTimeout(context.Background(), healWait)
	defer cancel()
	transport := &http.Transport{DisableKeepAlives: true}
	for _, on := range s.machines {
		for count := 0; ; count++ {
			version, _ := s.newest()
			request := Request{
				ID: fmt.Sprintf("heal-%s-%s-%d", strings.ReplaceAll(when, " ", "-"), on.name, count), Machine: on.name,
				Service: on.service, Method: http.MethodGet, Target: versionPrefix(version), Repeatable: true,
				Timeout: readTimeout,
			}
			if s.exchange(ctx, transport, on, request).Status == http.StatusOK {
				break
			}
			if ctx.Err() != nil {
				s.oracle.Never(fmt.Sprintf("%s does not serve version %d %s", on.name, version, when))
				break
			}
			pause.For(ctx, probePause)
		}
	}
}
