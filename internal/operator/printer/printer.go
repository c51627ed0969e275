// Package printer writes answers of the operators' API for people, as tables,
// or for scripts, as one JSON object.
package printer

import (
	"encoding/json"
	"fmt"
	"io"
	"strconv"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/samber/lo"

	"github.com/springstack/springstack/internal/operator/message"
	"github.com/springstack/springstack/internal/result"
)

// Format selects how answers are written.
type Format string

// The formats.
const (
	Table Format = "table"
	JSON  Format = "json"
)

// shortDigest is how much of a digest a table shows.
const shortDigest = 12

// Printer writes answers.
type Printer struct {
	// Out takes answers, Progress what is shown meanwhile.
	Out      io.Writer
	Progress io.Writer
	Format   Format
}

// json writes a value for scripts and reports whether it did.
func (p *Printer) json(value any) bool {
	if p.Format != JSON {
		return false
	}
	_ = json.NewEncoder(p.Out).Encode(value)
	return true
}

// table writes aligned rows. All rows have the same count of cells, for a
// shorter one would end the alignment of its columns.
func (p *Printer) table(rows [][]string) {
	var aligned strings.Builder
	writer := tabwriter.NewWriter(&aligned, 0, 0, 2, ' ', 0)
	for _, row := range rows {
		_, _ = fmt.Fprintln(writer, strings.Join(row, "\t"))
	}
	_ = writer.Flush()
	for line := range strings.Lines(aligned.String()) {
		p.line("%s", strings.TrimRight(line, " \n"))
	}
}

func (p *Printer) line(format string, arguments ...any) {
	_, _ = fmt.Fprintf(p.Out, format+"\n", arguments...)
}

// Answer writes what became of a command.
func (p *Printer) Answer(answer message.Answer) {
	if p.json(answer) {
		return
	}
	p.line("springstack-%d %s (ran: %s)", answer.Code, answer.Name, answer.Ran)
	if answer.Version > 0 || answer.Revision > 0 {
		p.line("  version %s, revision %s", number(answer.Version), number(answer.Revision))
	}
	for _, missing := range answer.WaitsFor {
		p.line("  waits: %s", missing)
	}
	for _, promoted := range answer.Promoted {
		p.line("  also accepted: %s", promoted)
	}
	for _, problem := range answer.Errors {
		p.line("  %s", problem.Err().Error())
	}
	if answer.Operation != "" {
		p.line("  operation %s", answer.Operation)
	}
}

// Status writes the state of the mesh.
func (p *Printer) Status(status message.Status) {
	if p.json(status) {
		return
	}
	if status.Partial != "" {
		p.line("%s: this is only what the daemon asked knows by itself; files may be missing", status.Partial)
	}
	p.line("version %d accepted %s; in force everywhere: %d %s",
		status.Version, moment(status.AcceptedAt), status.InForce, moment(status.InForceAt))
	for _, region := range status.CutRegions {
		p.line("region %s has not been heard lately; nothing is called in force there", region)
	}
	rows := [][]string{{"REGION", "ZONE", "MEMBERS", "HOLDING", "MINIMUM", "BEHIND", "SILENT"}}
	for _, zone := range status.Zones {
		rows = append(rows, []string{zone.Region, zone.Zone, strconv.Itoa(int(zone.Members)), strconv.Itoa(int(zone.Holding)),
			number(zone.Minimum), strings.Join(zone.Behind, " "), strings.Join(zone.Silent, " ")})
	}
	p.table(rows)
	p.line("")
	p.files(status.Files)
}

func (p *Printer) files(files []message.File) {
	rows := [][]string{{"FILE", "STATE", "REVISION", "VERSION", "ACCEPTED", "DIGEST", "WAITS FOR / EXPORTS"}}
	for _, file := range files {
		rows = append(rows, []string{file.Partner + "/" + file.Name, string(file.State), number(file.Revision), number(file.Version),
			moment(file.AcceptedAt), shorten(file.Digest), strings.Join(append(file.WaitsFor, file.Exports...), "; ")})
	}
	p.table(rows)
}

// Members writes the daemons.
func (p *Printer) Members(members message.Members) {
	if p.json(members) {
		return
	}
	rows := [][]string{{"ID", "STATE", "REGION", "ZONE", "ADDRESS", "READER", "SERVICE", "BACKEND", "ENDPOINT", "SLOTS"}}
	for _, member := range members.Members {
		rows = append(rows, []string{member.ID, member.State, member.Region, member.Zone, member.Address,
			lo.Ternary(member.Reader, "yes", ""), member.Service, member.Backend, member.Endpoint, number(uint64(max(0, member.Slots)))})
	}
	p.table(rows)
}

// Differences writes how a file differs from its accepted revision.
func (p *Printer) Differences(differences message.Differences) {
	if p.json(differences) {
		return
	}
	p.line("%s/%s against accepted revision %s: %s", differences.Partner, differences.Name, number(differences.Revision),
		lo.Ternary(differences.Identical, "identical", "different"))
	rows := [][]string{{"CHANGE", "KIND", "NAME", "ACCEPTED", "LOCAL"}}
	for _, difference := range differences.Differences {
		rows = append(rows, []string{string(difference.Change), difference.Kind, difference.Name,
			shorten(difference.Held), shorten(difference.Local)})
	}
	p.table(rows)
}

// explanation is one result code for scripts.
type explanation struct {
	Code       result.Code      `json:"code"`
	Name       string           `json:"name"`
	Ran        result.Execution `json:"ran"`
	Exit       int              `json:"exit"`
	HTTPStatus int              `json:"http_status"`
	Meaning    string           `json:"meaning"`
	Mend       string           `json:"mend"`
}

// Explain writes one result code at length.
func (p *Printer) Explain(entry result.Entry) {
	if p.json(explanation(entry)) {
		return
	}
	p.table([][]string{
		{"code", fmt.Sprintf("springstack-%d %s", entry.Code, entry.Name)},
		{"meaning", entry.Meaning},
		{"did it run", string(entry.Ran)},
		{"what to do", entry.Mend},
		{"exit status", strconv.Itoa(entry.Exit)},
		{"HTTP status", strconv.Itoa(entry.HTTPStatus)},
	})
}

// ExplainAll writes the whole table of result codes.
func (p *Printer) ExplainAll(entries []result.Entry) {
	converted := lo.Map(entries, func(entry result.Entry, _ int) explanation { return explanation(entry) })
	if p.json(converted) {
		return
	}
	rows := [][]string{{"CODE", "NAME", "RAN", "EXIT", "MEANING"}}
	for _, entry := range entries {
		rows = append(rows, []string{strconv.Itoa(int(entry.Code)), entry.Name, string(entry.Ran), strconv.Itoa(entry.Exit), entry.Meaning})
	}
	p.table(rows)
}

func moment(at *time.Time) string {
	if at == nil {
		return "-"
	}
	return at.UTC().Format(time.RFC3339)
}

func number(value uint64) string {
	if value == 0 {
		return "-"
	}
	return strconv.FormatUint(value, 10)
}

func shorten(digest string) string { return digest[:min(len(digest), shortDigest)] }
