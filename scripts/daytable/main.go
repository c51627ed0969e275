// Command daytable prints a table of the bench's reports in a folder: what each
// day earned, and which rules it broke.
package main

import (
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strings"

	"github.com/samber/lo"
)

// report is what the table needs of a day's report.
type report struct {
	Served  float64        `json:"served"`
	Refused float64        `json:"refused"`
	Failed  float64        `json:"failed"`
	Breaks  map[string]any `json:"breaks"`
	Fault   any            `json:"fault"`
	Short   []any          `json:"short"`
	Exits   int            `json:"exits_n"`
}

func main() {
	if len(os.Args) != 2 {
		fmt.Fprintln(os.Stderr, "usage: daytable FOLDER")
		os.Exit(2)
	}
	if err := printTable(os.Args[1]); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

func printTable(folder string) error {
	logs, err := filepath.Glob(filepath.Join(folder, "*.txt"))
	if err != nil {
		return err
	}
	slices.Sort(logs)
	fmt.Println("| day | served | refused | failed | rules broken | fault, short of, own ends |")
	fmt.Println("|---|---:|---:|---:|---|---|")
	for _, log := range logs {
		name := strings.TrimSuffix(filepath.Base(log), ".txt")
		text, err := os.ReadFile(strings.TrimSuffix(log, ".txt") + ".json")
		if err != nil {
			fmt.Printf("| %s | | | | not played | |\n", name)
			continue
		}
		var day report
		if err := json.Unmarshal(text, &day); err != nil {
			return fmt.Errorf("%s: %w", name, err)
		}
		broken := lo.Keys(day.Breaks)
		slices.Sort(broken)
		fmt.Printf("| %s | %.3f | %.3f | %.3f | %s | %s |\n", name, day.Served, day.Refused, day.Failed,
			strings.Join(broken, " "), trouble(day))
	}
	return nil
}

// trouble says what else a day fell short of.
func trouble(day report) string {
	var found []string
	if day.Fault != nil {
		found = append(found, fmt.Sprint(day.Fault))
	}
	for _, short := range day.Short {
		found = append(found, fmt.Sprint(short))
	}
	if day.Exits > 0 {
		found = append(found, fmt.Sprintf("%d own ends", day.Exits))
	}
	return strings.Join(found, "; ")
}
