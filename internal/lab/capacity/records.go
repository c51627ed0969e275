// Package capacity fits the figures of scale runs over daemons and services,
// and writes the tables and plots of docs/CAPACITY.md.
package capacity

import (
	"cmp"
	"encoding/json"
	"os"
	"path/filepath"
	"slices"

	"github.com/juju/errors"

	"github.com/springstack/springstack/internal/lab/scale"
)

// RecordPattern matches the records of scale runs.
const RecordPattern = "scale-*.json"

// ReadRecords reads the records of scale runs from a directory, in order of
// services and daemons.
func ReadRecords(directory string) ([]scale.Report, error) {
	paths, err := filepath.Glob(filepath.Join(directory, RecordPattern))
	if err != nil {
		return nil, errors.Trace(err)
	}
	var reports []scale.Report
	for _, path := range paths {
		text, err := os.ReadFile(path)
		if err != nil {
			return nil, errors.Trace(err)
		}
		var report scale.Report
		if err := json.Unmarshal(text, &report); err != nil {
			return nil, errors.Annotate(err, path)
		}
		reports = append(reports, report)
	}
	slices.SortFunc(reports, func(a, b scale.Report) int {
		return cmp.Or(cmp.Compare(a.Services, b.Services), cmp.Compare(a.Daemons, b.Daemons))
	})
	return reports, nil
}
