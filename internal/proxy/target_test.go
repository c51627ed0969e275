package proxy

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

func TestTargetRoundTrip(t *testing.T) {
	check := is.New(t)
	left, isValid := parseTarget(formatTarget(-30 * time.Millisecond))
	check.True(isValid)
	check.Equal(left, -30*time.Millisecond)
	for _, text := range []string{"", "12 3", "a", "3 ", "99999999999"} {
		_, isValid := parseTarget(text)
		check.True(!isValid)
	}
}
