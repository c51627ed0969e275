package proxy

import (
	"strconv"
	"time"
)

// formatTarget writes headerTarget: what is left until an answer is late, which
// may be negative, in milliseconds.
func formatTarget(left time.Duration) string {
	return strconv.FormatInt(left.Milliseconds(), 10)
}

// parseTarget reads headerTarget; false means that no target is stated.
func parseTarget(text string) (left time.Duration, stated bool) {
	milliseconds, err := strconv.ParseInt(text, 10, 32)
	if err != nil {
		return 0, false
	}
	return time.Duration(milliseconds) * time.Millisecond, true
}
