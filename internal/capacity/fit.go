// Package capacity fits lines to measurements of other packages at several sizes
// and renders the tables of docs/CAPACITY.md from the committed measurements.
package capacity

import "math"

// Point is one measurement: the value Y at the size X.
type Point struct {
	X float64 `json:"x"`
	Y float64 `json:"y"`
}

// Line is a line fitted by least squares.
type Line struct {
	Intercept float64
	// Slope is the growth of the value per unit of size.
	Slope float64
	// SlopeError is the standard error of the slope. It is NaN if there are fewer
	// than three points or fewer than two different sizes.
	SlopeError float64
}

// At returns the value of the line at the size x.
func (l Line) At(x float64) float64 { return l.Intercept + l.Slope*x }

// Fit returns the least-squares line through the points. With fewer than two
// different sizes, the line is constant.
func Fit(points []Point) Line {
	n := float64(len(points))
	var sumX, sumY float64
	for _, p := range points {
		sumX += p.X
		sumY += p.Y
	}
	meanX, meanY := sumX/n, sumY/n
	var sxx, sxy float64
	for _, p := range points {
		sxx += (p.X - meanX) * (p.X - meanX)
		sxy += (p.X - meanX) * (p.Y - meanY)
	}
	if sxx == 0 {
		return Line{Intercept: meanY, SlopeError: math.NaN()}
	}
	l := Line{Slope: sxy / sxx, SlopeError: math.NaN()}
	l.Intercept = meanY - l.Slope*meanX
	if n > 2 {
		l.SlopeError = math.Sqrt(squaredResiduals(points, l) / (n - 2) / sxx)
	}
	return l
}

// squaredResiduals returns the sum of the squared residuals.
func squaredResiduals(points []Point, l Line) float64 {
	var sum float64
	for _, p := range points {
		residual := p.Y - l.At(p.X)
		sum += residual * residual
	}
	return sum
}
