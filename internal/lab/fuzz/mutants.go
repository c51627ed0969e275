package fuzz

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"time"

	"github.com/juju/errors"
	"golang.org/x/sync/errgroup"

	"github.com/springstack/springstack/internal/sim/mutant"
)

// MutantSettings says how long mutants are looked for.
type MutantSettings struct {
	// Root is the directory of the module's source.
	Root string
	Seed uint64
	// Runs bounds the runs of each mutant, Limit its time.
	Runs  int
	Limit time.Duration
	// Parallel bounds the mutants built and run at once.
	Parallel int
	// Only names one mutant; all when empty.
	Only string
}

// MutantResult is one mutant and what caught it.
type MutantResult struct {
	Name   string `json:"name"`
	Breaks string `json:"breaks"`
	mutant.Finding
	// Error says why the mutant could not be built or run to its end.
	Error string `json:"error,omitempty"`
}

// MutantReport is the result of all mutants.
type MutantReport struct {
	Mutants int            `json:"mutants"`
	Caught  []MutantResult `json:"caught"`
	Missed  []MutantResult `json:"missed"`
	Seconds float64        `json:"seconds"`
}

// Mutants builds and runs each mutant and calls progress after each.
func Mutants(ctx context.Context, settings MutantSettings, progress func(MutantResult)) (MutantReport, error) {
	report := MutantReport{Caught: []MutantResult{}, Missed: []MutantResult{}}
	directory, err := os.MkdirTemp("", "springstack-mutants-")
	if err != nil {
		return report, errors.Trace(err)
	}
	defer func() { _ = os.RemoveAll(directory) }()
	started := time.Now()
	results := make([]MutantResult, 0)
	for _, one := range mutant.All() {
		if settings.Only == "" || settings.Only == one.Name {
			results = append(results, MutantResult{Name: one.Name, Breaks: one.Breaks.String()})
		}
	}
	report.Mutants = len(results)
	runMutants(ctx, settings, directory, results)
	for _, result := range results {
		progress(result)
		if result.Caught {
			report.Caught = append(report.Caught, result)
		} else {
			report.Missed = append(report.Missed, result)
		}
	}
	report.Seconds = time.Since(started).Seconds()
	return report, nil
}

func runMutants(ctx context.Context, settings MutantSettings, directory string, results []MutantResult) {
	byName := map[string]mutant.Mutant{}
	for _, one := range mutant.All() {
		byName[one.Name] = one
	}
	var group errgroup.Group
	group.SetLimit(max(1, settings.Parallel))
	for index := range results {
		group.Go(func() error {
			result := &results[index]
			finding, err := runMutant(ctx, settings, directory, byName[result.Name])
			result.Finding = finding
			if err != nil {
				result.Error = err.Error()
			}
			return nil
		})
	}
	_ = group.Wait() // errors stand in the results
}

// runMutant builds the simulator with one mutated file and runs it.
func runMutant(ctx context.Context, settings MutantSettings, directory string, one mutant.Mutant) (mutant.Finding, error) {
	finding := mutant.Finding{}
	overlay, err := writeOverlay(settings.Root, directory, one)
	if err != nil {
		return finding, errors.Trace(err)
	}
	program := filepath.Join(directory, one.Name)
	build := exec.CommandContext(ctx, "go", "build", "-overlay", overlay, "-o", program, "./internal/sim/mutant/run")
	build.Dir = settings.Root
	if output, err := build.CombinedOutput(); err != nil {
		return finding, fmt.Errorf("build: %w: %s", err, output)
	}
	defer func() { _ = os.Remove(program) }()
	limited, cancel := context.WithTimeout(ctx, settings.Limit)
	defer cancel()
	run := exec.CommandContext(limited, program, "-simulation", one.Simulation,
		"-seed", fmt.Sprint(settings.Seed), "-runs", fmt.Sprint(settings.Runs))
	var problems bytes.Buffer
	run.Stderr = &problems
	output, err := run.Output()
	if err != nil {
		return finding, fmt.Errorf("run: %w: %s", err, firstLine(problems.Bytes()))
	}
	return finding, errors.Trace(json.Unmarshal(output, &finding))
}

// writeOverlay writes the mutated file and the description that -overlay takes.
func writeOverlay(root, directory string, one mutant.Mutant) (string, error) {
	absolute, err := filepath.Abs(root)
	if err != nil {
		return "", errors.Trace(err)
	}
	path, text, err := one.Apply(absolute)
	if err != nil {
		return "", errors.Trace(err)
	}
	mutated := filepath.Join(directory, one.Name+".go.txt")
	if err := os.WriteFile(mutated, text, 0o600); err != nil {
		return "", errors.Trace(err)
	}
	type overlayFile struct{ Replace map[string]string }
	encoded, err := json.Marshal(overlayFile{Replace: map[string]string{path: mutated}})
	if err != nil {
		return "", errors.Trace(err)
	}
	overlay := filepath.Join(directory, one.Name+".json")
	return overlay, errors.Trace(os.WriteFile(overlay, encoded, 0o600))
}

func firstLine(text []byte) string {
	line, _, _ := bytes.Cut(text, []byte("\n"))
	return string(line)
}
