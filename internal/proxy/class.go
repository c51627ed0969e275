package proxy

import (
	"strconv"

	"github.com/springstack/springstack/internal/core/callclass"
)

// parseClass reads headerClass, the class of a call's route. One that is missing,
// malformed or out of range counts as 0: calls of an unknown class are one class.
func parseClass(text string) callclass.Class {
	number, err := strconv.Atoi(text)
	if err != nil || !callclass.Valid(number) {
		return 0
	}
	return callclass.Class(number)
}
