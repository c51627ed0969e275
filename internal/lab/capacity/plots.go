package capacity

import (
	"os"
	"path/filepath"

	"github.com/juju/errors"
	"github.com/samber/lo"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"

	"github.com/springstack/springstack/internal/lab/scale"
)

// Size of each plot.
const (
	plotWidth  = 14 * vg.Centimeter
	plotHeight = 9 * vg.Centimeter
)

// Plots draws the metrics over daemons, with their fits, and returns the names
// of the files written.
func Plots(reports []scale.Report, directory string) ([]string, error) {
	if err := os.MkdirAll(directory, 0o755); err != nil {
		return nil, errors.Trace(err)
	}
	runs := lo.Filter(reports, func(one scale.Report, _ int) bool { return one.Services == TargetServices })
	var written []string
	for _, metric := range metrics {
		points := metric.points(runs, daemonsOf)
		if metric.File == "" || len(points) < minimumPoints {
			continue
		}
		name := metric.File + ".png"
		if err := draw(metric, points, filepath.Join(directory, name)); err != nil {
			return nil, errors.Annotate(err, name)
		}
		written = append(written, name)
	}
	return written, nil
}

// draw plots the measured points and the line through those below the target.
func draw(metric Metric, points []Point, path string) error {
	drawn := plot.New()
	drawn.Title.Text = metric.Name
	drawn.X.Label.Text = "daemons"
	drawn.Y.Label.Text = metric.Unit
	drawn.X.Min = 0
	drawn.Y.Min = 0
	scatter, err := plotter.NewScatter(toXY(points))
	if err != nil {
		return errors.Trace(err)
	}
	below := lo.Filter(points, func(one Point, _ int) bool { return one.X < TargetDaemons })
	drawn.Add(plotter.NewGrid(), scatter)
	if len(below) >= minimumPoints {
		fit := FitLine(below)
		line, err := plotter.NewLine(toXY([]Point{{0, fit.At(0)}, {TargetDaemons, fit.At(TargetDaemons)}}))
		if err != nil {
			return errors.Trace(err)
		}
		drawn.Add(line)
	}
	return errors.Trace(drawn.Save(plotWidth, plotHeight, path))
}

func toXY(points []Point) plotter.XYs {
	return lo.Map(points, func(one Point, _ int) plotter.XY { return plotter.XY{X: one.X, Y: one.Y} })
}
