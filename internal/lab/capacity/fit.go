package capacity

import (
	"math"

	"github.com/samber/lo"
	"gonum.org/v1/gonum/stat"
)

// Point is one measurement.
type Point struct {
	X float64
	Y float64
}

// Fit is a straight line through measurements by least squares.
type Fit struct {
	Intercept float64
	Slope     float64
	// RSquared is the coefficient of determination.
	RSquared float64
	// StandardError is that of the residuals, in the unit of the measurement;
	// NaN for fewer than three points.
	StandardError float64
}

// minimumPoints is how many points a line with an error needs.
const minimumPoints = 3

// FitLine returns the line through the points.
func FitLine(points []Point) Fit {
	xs := lo.Map(points, func(one Point, _ int) float64 { return one.X })
	ys := lo.Map(points, func(one Point, _ int) float64 { return one.Y })
	intercept, slope := stat.LinearRegression(xs, ys, nil, false)
	fit := Fit{
		Intercept:     intercept,
		Slope:         slope,
		RSquared:      stat.RSquared(xs, ys, nil, intercept, slope),
		StandardError: math.NaN(),
	}
	if len(points) >= minimumPoints {
		fit.StandardError = residualError(fit, points)
	}
	return fit
}

// residualError is the square root of the residuals' sum of squares over the
// degrees of freedom.
func residualError(fit Fit, points []Point) float64 {
	sum := 0.0
	for _, one := range points {
		residual := one.Y - fit.At(one.X)
		sum += residual * residual
	}
	return math.Sqrt(sum / float64(len(points)-minimumPoints+1))
}

// At returns the line's value.
func (f Fit) At(x float64) float64 { return f.Intercept + f.Slope*x }
