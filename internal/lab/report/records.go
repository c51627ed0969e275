// Package report makes the plots and tables of docs/MEASUREMENTS.md from the
// figures that experiments kept.
package report

import (
	"encoding/json"
	"os"
	"path/filepath"
	"sort"
	"strings"

	"github.com/juju/errors"

	"github.com/springstack/springstack/internal/lab/overload"
	"github.com/springstack/springstack/internal/lab/requestpath"
)

// Names of experiments in their records.
const (
	experimentRequestPath = "request-path"
	experimentOverload    = "overload"
)

// recordExtension ends the names of the kept records.
const recordExtension = ".json"

// Record is one experiment's kept figures.
type Record struct {
	// Name is the name under which they were kept.
	Name       string
	Experiment string
	text       []byte
}

// header is what all records have.
type header struct {
	Experiment string `json:"experiment"`
}

// ReadRecords reads all records of a directory in order of their names. Files
// that are not records of experiments are left out.
func ReadRecords(directory string) ([]Record, error) {
	paths, err := filepath.Glob(filepath.Join(directory, "*"+recordExtension))
	if err != nil {
		return nil, errors.Trace(err)
	}
	sort.Strings(paths)
	var records []Record
	for _, path := range paths {
		record, err := readRecord(path)
		if err != nil {
			return nil, errors.Trace(err)
		}
		if record.Experiment != "" {
			records = append(records, record)
		}
	}
	return records, nil
}

// readRecord reads one record.
func readRecord(path string) (Record, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return Record{}, errors.Trace(err)
	}
	var head header
	if err := json.Unmarshal(text, &head); err != nil {
		return Record{}, errors.Annotate(err, path)
	}
	name := strings.TrimSuffix(filepath.Base(path), recordExtension)
	return Record{Name: name, Experiment: head.Experiment, text: text}, nil
}

// overloads decodes the records of the overload experiment.
func overloads(records []Record) ([]overload.Figures, error) {
	return decode[overload.Figures](records, experimentOverload)
}

// requestPaths decodes the records of the request-path experiment.
func requestPaths(records []Record) ([]requestpath.Figures, error) {
	return decode[requestpath.Figures](records, experimentRequestPath)
}

// decode decodes the records of one experiment.
func decode[Figures any](records []Record, experiment string) ([]Figures, error) {
	var decoded []Figures
	for _, record := range records {
		if record.Experiment != experiment {
			continue
		}
		var figures Figures
		if err := json.Unmarshal(record.text, &figures); err != nil {
			return nil, errors.Annotate(err, record.Name)
		}
		decoded = append(decoded, figures)
	}
	return decoded, nil
}
