package pause

import (
	"context"
	"testing"
	"time"

	"github.com/matryer/is"
)

func TestForEndsWithTheTimeOrTheContext(t *testing.T) {
	check := is.New(t)
	running := context.Background()
	ended, cancel := context.WithCancel(running)
	cancel()
	check.True(For(running, time.Nanosecond))
	check.True(For(running, 0))
	check.True(!For(ended, time.Hour))
	check.True(!For(ended, -1))
}
