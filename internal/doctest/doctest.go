// Package doctest holds generated sections of documentation equal to the code
// that they come from. A section stands between <!-- NAME:begin --> and
// <!-- NAME:end -->. Tests that use it write the section anew when they are run
// with the flag -update-docs.
package doctest

import (
	"flag"
	"os"
	"strings"
	"testing"
)

// update makes Section write instead of compare.
var update = flag.Bool("update-docs", false, "write generated sections of documentation instead of comparing them")

// Section fails the test unless the named section of the file is text.
func Section(t *testing.T, path, name, text string) {
	t.Helper()
	page, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	begin, end := "<!-- "+name+":begin -->\n", "<!-- "+name+":end -->"
	before, rest, opened := strings.Cut(string(page), begin)
	found, after, closed := strings.Cut(rest, end)
	if !opened || !closed {
		t.Fatalf("%s has no section %s", path, name)
	}
	if found == text {
		return
	}
	if !*update {
		t.Fatalf("section %s of %s differs from the code; run this package's tests with -update-docs", name, path)
	}
	if err := os.WriteFile(path, []byte(before+begin+text+end+after), 0o644); err != nil {
		t.Fatal(err)
	}
}

// Table returns a Markdown table. Bars inside cells are escaped.
func Table(header []string, rows [][]string) string {
	var text strings.Builder
	writeRow(&text, header)
	text.WriteString("|" + strings.Repeat("---|", len(header)) + "\n")
	for _, row := range rows {
		writeRow(&text, row)
	}
	return text.String()
}

func writeRow(text *strings.Builder, cells []string) {
	for _, cell := range cells {
		text.WriteString("| " + strings.ReplaceAll(cell, "|", "\\|") + " ")
	}
	text.WriteString("|\n")
}
