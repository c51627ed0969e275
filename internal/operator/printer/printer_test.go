package printer_test

import (
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/springstack/springstack/internal/operator/message"
	"github.com/springstack/springstack/internal/operator/printer"
)

func TestTablesStayAlignedPastEmptyCells(t *testing.T) {
	is := is.New(t)
	var out strings.Builder
	(&printer.Printer{Out: &out, Format: printer.Table}).Differences(message.Differences{Differences: []message.Difference{
		{Kind: "backend", Name: "renewals-1", Change: message.DifferenceChanged, Held: "h1", Local: "l1"},
		{Kind: "secret", Name: "payment-token", Change: message.DifferenceChanged},
		{Kind: "service", Name: "renewals", Change: message.DifferenceSame, Held: "h2", Local: "l2"},
	}})
	lines := strings.Split(out.String(), "\n")
	is.Equal(strings.Index(lines[2], "h1"), strings.Index(lines[4], "h2"))
	is.Equal(lines[3], strings.TrimRight(lines[3], " "))
}
