package proxy

import (
	"strconv"
	"strings"
	"time"

	"github.com/springstack/springstack/internal/core/endpoint"
)

// formatLoad formats a load report for headerLoad: the calls running and queued at the gate, its
// mean service time in microseconds and, after a semicolon, the back end's own load and its age in
// milliseconds if the back end reports one. For example "3 0 5120;2.5 140".
func formatLoad(report endpoint.LoadReport) string {
	var buffer [64]byte
	text := strconv.AppendInt(buffer[:0], int64(report.Running), 10)
	text = append(text, ' ')
	text = strconv.AppendInt(text, int64(report.Queued), 10)
	text = append(text, ' ')
	text = strconv.AppendInt(text, report.Service.Microseconds(), 10)
	if report.Own >= 0 {
		text = append(text, ';')
		text = strconv.AppendFloat(text, report.Own, 'g', 4, 64)
		text = append(text, ' ')
		text = strconv.AppendInt(text, report.OwnAge.Milliseconds(), 10)
	}
	return string(text)
}

// gateFieldCount is the number of fields that describe the gate, before the semicolon.
const gateFieldCount = 3

// parseLoad parses a load report; false means that the text is empty or that its gate fields are
// malformed.
func parseLoad(text string) (endpoint.LoadReport, bool) {
	gate, own, hasOwn := strings.Cut(text, ";")
	report := endpoint.LoadReport{Own: -1}
	fields := strings.Fields(gate)
	if len(fields) != gateFieldCount {
		return report, false
	}
	var numbers [gateFieldCount]int
	for index, field := range fields {
		number, err := strconv.Atoi(field)
		if err != nil || number < 0 {
			return report, false
		}
		numbers[index] = number
	}
	report.Running, report.Queued = numbers[0], numbers[1]
	report.Service = time.Duration(numbers[2]) * time.Microsecond
	if hasOwn {
		parseOwnLoad(&report, own)
	}
	return report, true
}

// parseOwnLoad parses the back end's part of a load report; a malformed part counts as missing.
func parseOwnLoad(report *endpoint.LoadReport, text string) {
	load, age, found := strings.Cut(text, " ")
	own, err := strconv.ParseFloat(load, 64)
	if !found || err != nil || !(own >= 0) {
		return
	}
	milliseconds, err := strconv.ParseInt(age, 10, 32)
	if err != nil {
		return
	}
	report.Own = own
	report.OwnAge = time.Duration(milliseconds) * time.Millisecond
}
