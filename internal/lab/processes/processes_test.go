package processes_test

import (
	"flag"
	"os/exec"
	"path/filepath"
	"testing"

	"github.com/matryer/is"

	"github.com/springstack/springstack/internal/lab/processes"
)

var (
	rounds  = flag.Int("processes.rounds", 3, "faults of the run of real processes")
	daemons = flag.Int("processes.daemons", 4, "daemons of the run of real processes")
	seed    = flag.Uint64("processes.seed", 1, "seed of the run of real processes")
)

// TestRealProcesses runs daemons as processes of their own and judges them by
// the simulator's oracle. Nothing that it asserts depends on timing but that
// the end is reached within minutes. scripts/real-processes.sh runs it longer.
func TestRealProcesses(t *testing.T) {
	is := is.New(t)
	directory := t.TempDir()
	binary := filepath.Join(directory, "springstackd")
	output, err := exec.Command("go", "build", "-o", binary, "../../../cmd/springstackd").CombinedOutput()
	if err != nil {
		t.Fatalf("build: %v: %s", err, output)
	}
	result, err := processes.Run(t.Context(), processes.Options{
		Binary: binary, Directory: directory, Daemons: *daemons, Rounds: *rounds, Seed: *seed, Report: t.Logf,
	})
	t.Logf("lines=%d calls=%d accepted=%d faults=%v", result.Lines, result.Calls, result.Accepted, result.Faults)
	is.NoErr(err)
	is.Equal(result.Violations, nil)
	is.Equal(result.Unread, 0)
	is.True(result.Lines > 0)
	is.True(result.Accepted > 0)
}
