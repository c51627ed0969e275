package harmful

import (
	"context"
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/springstack/springstack/internal/core/quarantine"
)

// Run plays the same drawn days with each way.
func Run(ctx context.Context, options Options) (*Report, error) {
	report := &Report{Seed: options.Seed, Days: options.Runs}
	for _, way := range Ways() {
		figures := Figures{Way: way.Name}
		for number := range options.Runs {
			if ctx.Err() != nil {
				return nil, ctx.Err()
			}
			figures.add(playDay(options, way, uint64(number)))
		}
		figures.finish()
		report.Ways = append(report.Ways, figures)
	}
	return report, nil
}

// playDay plays one day.
func playDay(options Options, way Way, number uint64) *day {
	draw := rand.New(rand.NewPCG(options.Seed, number))
	played := &day{
		mesh: newMesh(draw.Uint64(), way), length: options.Length,
		harms: map[quarantine.Signature]*harm{}, held: map[quarantine.Signature]bool{},
		heldLong: map[quarantine.Signature]bool{}, mended: map[quarantine.Signature]bool{},
	}
	harmful := 0
	if options.Harmful > 0 {
		harmful = 1 + draw.IntN(options.Harmful)
	}
	played.play(harmful)
	return played
}

// add takes what came of a day.
func (f *Figures) add(played *day) {
	f.days++
	f.requests += played.requests
	f.lost += played.lost
	f.HeldRequests += len(played.held)
	f.HeldLong += len(played.heldLong)
	if len(played.held) > 0 {
		f.HeldDays++
	}
	for _, done := range slices.Concat(played.released, slices.Collect(maps.Values(played.harms))) {
		f.HarmfulRequests++
		f.ends += len(done.ends)
		f.EndsMost = max(f.EndsMost, len(done.ends))
		if done.later > sendsAllowed {
			f.SentLater++
		}
		if done.known > 0 {
			f.known++
			f.knownTotal += done.known
			f.KnownMost = max(f.KnownMost, milliseconds(done.known))
		}
	}
}

// finish turns sums into means.
func (f *Figures) finish() {
	f.EndsMean = float64(f.ends) / float64(max(f.HarmfulRequests, 1))
	f.Lost = float64(f.lost) / float64(max(f.requests, 1))
	f.KnownMean = milliseconds(f.knownTotal) / float64(max(f.known, 1))
}

func milliseconds(of time.Duration) float64 { return float64(of.Microseconds()) / 1000 }
