// Package capacity fits slopes to measurements of the real packages and keeps
// the tables of docs/CAPACITY.md equal to the committed measurements.
package capacity

import "math"

// Point is one measurement: a figure Y at a size X.
type Point struct {
	X float64 `json:"x"`
	Y float64 `json:"y"`
}

// Line is a least-squares line through points.
type Line struct {
	Intercept float64
	// Slope is the growth of the figure per unit of size.
	Slope float64
	// SlopeError is the standard error of the slope; NaN below three points.
	SlopeError float64
}

// At returns the line's figure at a size.
func (l Line) At(x float64) float64 { return l.Intercept + l.Slope*x }

// Fit returns the least-squares line. Fewer than two different sizes give a
// constant.
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

func squaredResiduals(points []Point, l Line) float64 {
	var sum float64
	for _, p := range points {
		r := p.Y - l.At(p.X)
		sum += r * r
	}
	return sum
}
