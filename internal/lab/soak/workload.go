package soak

import (
	"hash/fnv"
	"math"
	"math/rand/v2"
	"time"
)

// latencySpread is how many times longer than the least a machine's latency may be: with
// 1 ms it reaches that between regions.
const latencySpread = 25

// drawLatency draws the latency of one machine's links, each order of magnitude as
// often.
func (s *soak) drawLatency() time.Duration {
	return time.Duration(float64(s.options.Latency) * math.Pow(latencySpread, s.random.Float64()))
}

// workOn draws how long the run of a request takes, each order of magnitude as
// often: the same for each run of the same request.
func (s *soak) workOn(id string) time.Duration {
	share := s.shareOf(id, "work")
	return time.Duration(float64(shortestWork) * math.Pow(float64(longestWork)/float64(shortestWork), share))
}

// streamOn draws whether the answer to a request begins before the work is done.
func (s *soak) streamOn(id string) bool { return s.shareOf(id, "stream") < streamShare }

// shareOf draws a number below 1 for one purpose of a request.
func (s *soak) shareOf(id, purpose string) float64 {
	hash := fnv.New64a()
	_, _ = hash.Write([]byte(id + " " + purpose)) // it never fails
	return rand.New(rand.NewPCG(s.options.Seed, hash.Sum64())).Float64()
}
