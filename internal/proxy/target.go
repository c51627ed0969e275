package proxy

import (
	"strconv"
	"strings"
	"time"
)

// formatTarget writes headerTarget: what is left until an answer is late, which
// may be negative, and the whole span that the route states, in milliseconds.
func formatTarget(left, span time.Duration) string {
	var buffer [32]byte
	text := strconv.AppendInt(buffer[:0], left.Milliseconds(), 10)
	text = append(text, ' ')
	return string(strconv.AppendInt(text, span.Milliseconds(), 10))
}

// parseTarget reads headerTarget; false means that no target is stated.
func parseTarget(text string) (left, span time.Duration, stated bool) {
	first, second, found := strings.Cut(text, " ")
	if !found {
		return 0, 0, false
	}
	leftMilliseconds, err := strconv.ParseInt(first, 10, 32)
	if err != nil {
		return 0, 0, false
	}
	spanMilliseconds, err := strconv.ParseInt(second, 10, 32)
	if err != nil || spanMilliseconds <= 0 {
		return 0, 0, false
	}
	return time.Duration(leftMilliseconds) * time.Millisecond, time.Duration(spanMilliseconds) * time.Millisecond, true
}
