package report

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"

	"github.com/juju/errors"
	"github.com/samber/lo"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"

	"github.com/springstack/springstack/internal/lab/overload"
)

// Size of each plot.
const (
	plotWidth  = 14 * vg.Centimeter
	plotHeight = 9 * vg.Centimeter
)

// beforeSuffix ends the names of records of an earlier state, which are for
// the tables of rounds and not for plots.
const beforeSuffix = "-before"

// Plots draws what the records hold into a directory and returns the files
// written.
func Plots(records []Record, directory string) ([]string, error) {
	if err := os.MkdirAll(directory, 0o755); err != nil {
		return nil, errors.Trace(err)
	}
	current := lo.Reject(records, func(record Record, _ int) bool {
		return strings.HasSuffix(record.Name, beforeSuffix)
	})
	var written []string
	for _, draw := range []func([]Record) (*drawing, error){goodputCurve, highLossCurve, addedByDepth} {
		drawn, err := draw(current)
		if err != nil {
			return nil, errors.Trace(err)
		}
		if drawn == nil {
			continue
		}
		path := filepath.Join(directory, drawn.file)
		if err := drawn.plot.Save(plotWidth, plotHeight, path); err != nil {
			return nil, errors.Annotate(err, path)
		}
		written = append(written, path)
	}
	return written, nil
}

// drawing is a plot and the file that it goes to.
type drawing struct {
	file string
	plot *plot.Plot
}

// series is one line of a plot.
type series struct {
	name   string
	points plotter.XYs
}

// newDrawing draws some lines; nil when there are none. The legend stands at
// the top left or at the bottom right.
func newDrawing(file, title, horizontal, vertical string, legendTop bool, lines []series) (*drawing, error) {
	if len(lines) == 0 {
		return nil, nil
	}
	drawn := plot.New()
	drawn.Title.Text = title
	drawn.X.Label.Text = horizontal
	drawn.Y.Label.Text = vertical
	drawn.Y.Min = 0
	drawn.Legend.Top = legendTop
	drawn.Legend.Left = legendTop
	drawn.Add(plotter.NewGrid())
	var arguments []any
	for _, line := range lines {
		arguments = append(arguments, line.name, line.points)
	}
	if err := plotutil.AddLinePoints(drawn, arguments...); err != nil {
		return nil, errors.Annotate(err, file)
	}
	return &drawing{file: file, plot: drawn}, nil
}

// goodputCurve draws goodput over offered load, a line for each baseline.
func goodputCurve(records []Record) (*drawing, error) {
	lines, err := overCurve(records, func(point overload.Point) float64 { return point.Goodput })
	if err != nil {
		return nil, errors.Trace(err)
	}
	return newDrawing("goodput.svg", "Goodput under load", "offered load / capacity", "goodput / capacity", false, lines)
}

// highLossCurve draws the loss of calls of high priority likewise.
func highLossCurve(records []Record) (*drawing, error) {
	lines, err := overCurve(records, func(point overload.Point) float64 { return point.HighLoss })
	if err != nil {
		return nil, errors.Trace(err)
	}
	return newDrawing("high-loss.svg", "Calls of high priority lost", "offered load / capacity", "share lost", true, lines)
}

// overCurve takes one value of each point of the overload's curves.
func overCurve(records []Record, value func(overload.Point) float64) ([]series, error) {
	figures, err := overloads(records)
	if err != nil {
		return nil, errors.Trace(err)
	}
	var lines []series
	for _, each := range figures {
		points := make(plotter.XYs, 0, len(each.Curve))
		for _, point := range each.Curve {
			points = append(points, plotter.XY{X: point.Offered, Y: value(point)})
		}
		name := "springstack"
		if each.Baseline != "none" {
			name = each.Baseline
		}
		lines = append(lines, series{name: name, points: points})
	}
	return lines, nil
}

// addedByDepth draws the median added time over the depth of calls, a line for
// each deployment.
func addedByDepth(records []Record) (*drawing, error) {
	figures, err := requestPaths(records)
	if err != nil {
		return nil, errors.Trace(err)
	}
	var lines []series
	for _, each := range figures {
		if len(each.Depths) == 0 {
			continue
		}
		points := make(plotter.XYs, 0, len(each.Depths))
		for _, depth := range each.Depths {
			points = append(points, plotter.XY{X: float64(depth.Depth), Y: depth.AddedP50})
		}
		lines = append(lines, series{name: fmt.Sprintf("%s, median", each.Deployment), points: points})
	}
	return newDrawing("depth.svg", "Time added to nested calls", "depth of calls", "added time, ms", true, lines)
}
