package soak

import (
	"context"
	"fmt"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/samber/lo"

	"github.com/springstack/springstack/internal/pause"
)

// healWait is how long all may take to serve again once faults are gone.
const healWait = 20 * time.Second

// probing is what came of asking a daemon until it served a version.
type probing struct {
	version int
	serves  bool
	// answers counts the answers by status and reason; 0 is none. The last one came so long
	// after the first question.
	answers map[string]int
	lasted  time.Duration
}

// String tells the answers, those without one as 0.
func (p probing) String() string {
	counts := lo.MapToSlice(p.answers, func(answer string, count int) string { return fmt.Sprintf("%q %d times", answer, count) })
	slices.Sort(counts)
	return fmt.Sprintf("asked for %s: %s", p.lasted.Round(time.Millisecond), strings.Join(counts, ", "))
}

// awaitHealed waits until every daemon serves the newest version.
func (s *soak) awaitHealed(when string) {
	for on, asked := range s.awaitAll(healWait, when) {
		if !asked.serves {
			s.oracle.Never(fmt.Sprintf("%s does not serve version %d %s; %s", on.name, asked.version, when, asked))
		}
	}
}

// awaitAll asks all daemons at once until each serves the newest version or the time is over.
func (s *soak) awaitAll(within time.Duration, name string) map[*machine]probing {
	ctx, cancel := context.WithTimeout(context.Background(), within)
	defer cancel()
	outcomes := make([]probing, len(s.machines))
	var asking sync.WaitGroup
	for index, on := range s.machines {
		asking.Add(1)
		go func() {
			defer asking.Done()
			outcomes[index] = s.awaitServing(ctx, on, name+" "+on.startName())
		}()
	}
	asking.Wait()
	return lo.Associate(lo.Zip2(s.machines, outcomes), lo.Tuple2[*machine, probing].Unpack)
}

// awaitServing asks a daemon until it serves the newest version or the context ends. The name
// keeps the probes' ids apart.
func (s *soak) awaitServing(ctx context.Context, on *machine, name string) probing {
	prefix := fmt.Sprintf("heal-%s-%s", strings.ReplaceAll(name, " ", "-"), on.name)
	asked := probing{answers: map[string]int{}}
	began := time.Now()
	for count := 0; ; count++ {
		asked.version, _ = s.newest()
		answer := s.ask(on, versionProbe(on, fmt.Sprintf("%s-%d", prefix, count), asked.version))
		asked.answers[answer.reason()]++
		asked.lasted = time.Since(began)
		if answer.Status == http.StatusOK {
			asked.serves = true
			return asked
		}
		if !pause.For(ctx, probePause) {
			return asked
		}
	}
}
