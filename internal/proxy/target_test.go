package proxy

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

func TestTargetRoundTrip(t *testing.T) {
	check := is.New(t)
	left, span, stated := parseTarget(formatTarget(-30*time.Millisecond, 400*time.Millisecond))
	check.True(stated)
	check.Equal(left, -30*time.Millisecond)
	check.Equal(span, 400*time.Millisecond)
	for _, text := range []string{"", "12", "a 3", "3 a", "3 0", "3 -1", "99999999999 3"} {
		_, _, stated := parseTarget(text)
		check.True(!stated)
	}
}
