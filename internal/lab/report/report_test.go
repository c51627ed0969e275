package report

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/matryer/is"
)

// testRecords keeps two small records in a directory of the test.
func testRecords(t *testing.T) []Record {
	directory := t.TempDir()
	texts := map[string]string{
		"a.json": `{"experiment":"overload","seed":7,"baseline":"none","goodput_ratio_at_3x":0.5,"calls":10,
			"conditions":{"load_average":2.5},"curve":[{"offered":1,"goodput":1},{"offered":3,"goodput":0.5}]}`,
		"b.json": `{"experiment":"overload","baseline":"none","goodput_ratio_at_3x":0.981,"calls":12}`,
		"c.json": `{"other":1}`,
	}
	for name, text := range texts {
		if err := os.WriteFile(filepath.Join(directory, name), []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	records, err := ReadRecords(directory)
	if err != nil {
		t.Fatal(err)
	}
	return records
}

func TestRoundTablesBeforeAndAfter(t *testing.T) {
	is := is.New(t)
	var text strings.Builder
	round := Round{Title: "Queue", Cause: "c", Change: "d", Before: "a", After: "b"}
	is.NoErr(WriteRound(&text, round, testRecords(t)))
	is.True(strings.Contains(text.String(), "| `goodput_ratio_at_3x` | 0.5 | 0.981 |\n"))
	is.True(strings.Contains(text.String(), "| `calls` | 10 | 12 |\n"))
	is.True(!strings.Contains(text.String(), "seed"))
	is.Equal(cell(map[string]float64{"a": 2052.095}, "a"), "2052")
	round.After = "missing"
	is.True(WriteRound(&text, round, testRecords(t)) != nil)
}

func TestPlotsAreDrawnFromWhatThereIs(t *testing.T) {
	is := is.New(t)
	records := testRecords(t)
	is.Equal(len(records), 2)
	written, err := Plots(records[:1], t.TempDir())
	is.NoErr(err)
	is.Equal(len(written), 2)
	text, err := os.ReadFile(written[0])
	is.NoErr(err)
	is.True(strings.Contains(string(text), "Goodput"))
}
