package proxy

import (
	"strconv"

	"github.com/springstack/springstack/internal/core/callclass"
)

// parseClass parses headerClass, the class of a call's route. A missing, malformed or out-of-range
// value yields class 0, the class of all calls of unknown class.
func parseClass(text string) callclass.Class {
	number, err := strconv.Atoi(text)
	if err != nil || !callclass.Valid(number) {
		return 0
	}
	return callclass.Class(number)
}
