package resource

import (
	"cmp"
	"slices"

	"github.com/springstack/springstack/internal/result"
)

// Limits holds the limits that Parse enforces.
type Limits struct {
	// Bytes is the maximum size of the text.
	Bytes int
	// Depth is the maximum nesting depth of lists and mappings.
	Depth int
}

// DefaultLimits returns 256 KiB and a depth of 16.
func DefaultLimits() Limits { return Limits{Bytes: 256 << 10, Depth: 16} }

// Parse parses one file in the format of docs/FILES.md. It returns either the
// file, with its lists sorted by name, or all mistakes found, sorted by line and
// each with file, line, field, detail and mend (a proposed correction). After a
// syntax error, no further mistakes are reported. Errors never contain the value
// of a secret.
func Parse(fileName string, text []byte, limits Limits) (*File, []*result.Error) {
	root, problem := readYAML(text, limits)
	if problem != nil {
		problem.File = fileName
		return nil, []*result.Error{problem}
	}
	collected := &collector{file: fileName}
	file := readFile(value{collector: collected, node: root, line: lineOf(root)})
	if len(collected.problems) > 0 {
		return nil, collected.sorted()
	}
	return file, nil
}

// collector gathers the mistakes of one file.
type collector struct {
	file     string
	problems []*result.Error
}

// maxProblems is the maximum number of mistakes reported for a file.
const maxProblems = 100

func (c *collector) add(problem result.Error) {
	if len(c.problems) >= maxProblems {
		return
	}
	problem.File = c.file
	c.problems = append(c.problems, &problem)
}

func (c *collector) sorted() []*result.Error {
	slices.SortStableFunc(c.problems, func(a, b *result.Error) int { return cmp.Compare(a.Line, b.Line) })
	return c.problems
}
