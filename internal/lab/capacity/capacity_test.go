package capacity

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/springstack/springstack/internal/lab/scale"
)

func TestFitFindsTheLineAndItsError(t *testing.T) {
	is := is.New(t)
	exact := FitLine([]Point{{1, 5}, {2, 7}, {4, 11}})
	is.True(exact.Slope > 1.999 && exact.Slope < 2.001)
	is.True(exact.At(10) > 22.999 && exact.At(10) < 23.001)
	is.True(exact.StandardError < 1e-9)
	rough := FitLine([]Point{{0, 0}, {1, 3}, {2, 0}})
	is.True(rough.StandardError > 2.4 && rough.StandardError < 2.5) // residuals -1, 2, -1 with one degree of freedom
}

func TestPageKeepsWhatIsOutsideTheMarks(t *testing.T) {
	is := is.New(t)
	path := filepath.Join(t.TempDir(), "page.md")
	is.NoErr(os.WriteFile(path, []byte("above\n"+beginMark+"\nstale text\n"+endMark+"\nbelow\n"), 0o600))
	var reports []scale.Report
	for _, daemons := range []int{50, 100, 200, TargetDaemons} {
		reports = append(reports, scale.Report{Daemons: daemons, Services: TargetServices, BytesP99: float64(daemons * 20)})
	}
	is.NoErr(WritePage(path, reports, []string{"plots/a.png"}))
	text, err := os.ReadFile(path)
	is.NoErr(err)
	page := string(text)
	is.True(strings.HasPrefix(page, "above\n") && strings.HasSuffix(page, "\nbelow\n"))
	is.True(!strings.Contains(page, "stale text"))
	is.True(strings.Contains(page, "| control bytes of a daemon, p99 | 10000 B/s | 20000 | **no** |"))
	is.NoErr(WritePage(path, reports, []string{"plots/a.png"}))
	again, err := os.ReadFile(path)
	is.NoErr(err)
	is.Equal(string(again), page)
}
