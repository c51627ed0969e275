package harmful

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// The same seed plays the same days, and the daemon's own way holds harmful requests on them.
func TestTheSameSeedPlaysTheSameDays(t *testing.T) {
	check := is.New(t)
	options := Options{Seed: 3, Runs: 3, Length: 10 * time.Second, Harmful: 2}
	one, err := Run(t.Context(), options)
	check.NoErr(err)
	other, err := Run(t.Context(), options)
	check.NoErr(err)
	check.Equal(one, other)
	check.Equal(len(one.Ways), len(Ways()))
	check.True(one.Ways[0].HarmfulRequests > 0)
	check.Equal(one.Ways[0].SentLater, 0)
}
