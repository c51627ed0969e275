package proxy

import (
	"strconv"
	"time"
)

// formatTarget returns the value of headerTarget: the time left until an answer is late,
// in milliseconds. It is negative if that time has passed.
func formatTarget(left time.Duration) string {
	return strconv.FormatInt(left.Milliseconds(), 10)
}

// parseTarget parses the value of headerTarget; isValid is false if the text is not a valid value.
func parseTarget(text string) (left time.Duration, isValid bool) {
	milliseconds, err := strconv.ParseInt(text, 10, 32)
	if err != nil {
		return 0, false
	}
	return time.Duration(milliseconds) * time.Millisecond, true
}
