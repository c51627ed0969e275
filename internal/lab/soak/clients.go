package soak

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"time"

	"github.com/samber/lo"

	"github.com/springstack/springstack/internal/pause"
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
	// mostBehind is how many requests a client has in flight on one connection at
	// most.
	mostBehind = 4
)

// client sends requests to one daemon on a kept connection until the context ends;
// it finishes what it has begun.
func (s *soak) client(ctx context.Context, on *machine, index int) {
	kept := &connection{address: on.callers}
	defer kept.close()
	for count := 0; ctx.Err() == nil; count++ {
		answers := s.exchange(kept, requestsOf(on, index, count)...)
		s.mutex.Lock()
		s.requests += len(answers)
		s.served += lo.CountBy(answers, func(answer Answer) bool { return answer.Status == http.StatusOK })
		for _, answer := range answers {
			s.answers[answer.reason()]++
		}
		s.mutex.Unlock()
		pause.For(ctx, clientPause)
	}
}

// homeEvery is one in how many requests of a client is kept to a region.
const homeEvery = 6

// requestsOf are the requests that a client sends at a time: one that may not be
// repeated, or some that may, one behind another.
func requestsOf(on *machine, index, count int) []Request {
	request := Request{
		ID: fmt.Sprintf("%s-%d-%d", on.name, index, count), Machine: on.name, Service: on.service,
	}
	if count%3 == 0 {
		request.Method = http.MethodPost
		prefix := writePrefix
		if count%homeEvery == 0 {
			prefix = homePrefix
		}
		request.Target = fmt.Sprintf("%s/%d", prefix, count)
		request.Body = strings.Repeat("b", 1+count%3000)
		request.Timeout = writeTimeout
		return []Request{request}
	}
	behind := 1
	if count%3 == 1 {
		behind = 1 + count/3%mostBehind
	}
	return lo.Times(behind, func(place int) Request {
		read := request
		read.ID = fmt.Sprintf("%s-%d", request.ID, place)
		read.Method, read.Repeatable, read.Timeout = http.MethodGet, true, readTimeout
		prefix := readPrefix
		if count%3 == 2 {
			prefix = workPrefix(on.service)
		}
		read.Target = fmt.Sprintf("%s%d?x=%%20%d", prefix, index, count)
		return withKey(read, count)
	})
}

// versionProbe is a request that only a version, or a later one that keeps its
// route, serves.
func versionProbe(on *machine, id string, version int) Request {
	return Request{
		ID: id, Machine: on.name, Service: on.service, Method: http.MethodGet, Target: versionPrefix(version),
		Repeatable: true, Timeout: readTimeout,
	}
}

// ask sends one request on a connection of its own.
func (s *soak) ask(on *machine, request Request) Answer {
	own := &connection{address: on.callers}
	defer own.close()
	return s.exchange(own, request)[0]
}

// prober asks a daemon for the newest version and the one that it showed last.
func (s *soak) prober(ctx context.Context, on *machine) {
	shown := 0
	for count := 0; ctx.Err() == nil; count++ {
		version, accepted := s.newest()
		start := on.startName()
		for place, asked := range []int{version, shown} {
			if asked == 0 {
				continue
			}
			sentAt := time.Now()
			answer := s.ask(on, versionProbe(on, fmt.Sprintf("probe-%s-%d-%d", on.name, count, place), asked))
			newest, _ := s.newest()
			switch {
			case start != on.startName():
			case answer.Status == http.StatusOK:
				shown = max(shown, asked)
				s.oracle.Shown(start, asked, sentAt, answer.At)
				if asked == newest {
					s.oracle.InForce(on.name, version, accepted, sentAt, true)
				}
			case answer.Status == statusNotFound && asked == version && newest == version:
				s.oracle.InForce(on.name, version, accepted, sentAt, false)
			}
		}
		pause.For(ctx, probePause)
	}
}
