package world

import (
	"testing"

	"github.com/matryer/is"

	"github.com/springstack/springstack/internal/core/resource"
	"github.com/springstack/springstack/internal/sim/timeline"
)

// TestDrawnFilesAreWhatTheyClaim parses drawn files: those without a flaw are
// valid and declare the keys announced to the oracle, the others are not.
func TestDrawnFilesAreWhatTheyClaim(t *testing.T) {
	is := is.New(t)
	w := &World{timeline: timeline.New(1)}
	flawed := 0
	for marker := range 600 {
		spec := w.drawSpec(partners[marker%2], fileNames[marker%len(fileNames)], marker)
		file, problems := resource.Parse(spec.name, spec.text(), resource.DefaultLimits())
		is.Equal(len(problems) > 0, spec.flaw != flawNone)
		if spec.flaw != flawNone {
			flawed++
			continue
		}
		declared := len(file.Services) + len(file.Backends) + len(file.Secrets) + len(file.Routes)
		is.Equal(declared, len(spec.declares()))
		is.Equal(file.Partner, spec.partner)
	}
	is.True(flawed > 0)
}
