package profile

import "math"

// Line is a moving linear regression of a time on an amount of work: a fixed time,
// and a time for each unit of work. The zero value has no observations.
type Line struct {
	// Samples is the number of observations, at most maxSamples.
	Samples float64
	// MeanX and MeanY are the means of work and time; VarX is the variance of the
	// work, and Cov the covariance of both.
	MeanX, MeanY, VarX, Cov float64
}

const (
	// maxTimeRatio limits a time that is included, as a multiple of what the line
	// predicts; a longer one counts as that long.
	maxTimeRatio = 3.0
	// minRatioSamples is the number of observations from which on that limit applies.
	minRatioSamples = 4
	// minRelativeDeviation is the standard deviation of the work, relative to its
	// mean, below which a slope cannot be told from a fixed time.
	minRelativeDeviation = 0.1
	// minSlopeShare is the least part of the mean time that depends on the work.
	minSlopeShare = 0.3
)

// Observe includes one observation. It reports false, and changes nothing, if the
// numbers are not positive and finite.
func (l *Line) Observe(x, y float64) bool {
	if !(x > 0) || !(y > 0) || math.IsInf(x, 1) || math.IsInf(y, 1) {
		return false
	}
	if l.Samples >= minRatioSamples {
		fixed, slope := l.fit()
		y = min(y, maxTimeRatio*(fixed+slope*x))
	}
	weight := max(minWeight, 1/(l.Samples+1))
	dx, dy := x-l.MeanX, y-l.MeanY
	l.MeanX += weight * dx
	l.MeanY += weight * dy
	l.VarX = (1 - weight) * (l.VarX + weight*dx*dx)
	l.Cov = (1 - weight) * (l.Cov + weight*dx*dy)
	l.Samples = min(maxSamples, l.Samples+1)
	return true
}

// fit returns the fixed time and the time for each unit of work. There must be an
// observation.
func (l Line) fit() (fixed, slope float64) {
	ratio := l.MeanY / l.MeanX
	slope = ratio
	if l.VarX > math.Pow(minRelativeDeviation*l.MeanX, 2) {
		slope = min(max(l.Cov/l.VarX, minSlopeShare*ratio), ratio)
	}
	return l.MeanY - slope*l.MeanX, slope
}

// valid reports whether a line received from another process can be used.
func (l Line) valid() bool {
	if l.Samples == 0 {
		return true
	}
	for _, v := range []float64{l.Samples, l.MeanX, l.MeanY, l.VarX, l.Cov} {
		if math.IsNaN(v) || math.IsInf(v, 0) {
			return false
		}
	}
	return l.Samples > 0 && l.Samples <= maxSamples && l.MeanX > 0 && l.MeanY > 0 && l.VarX >= 0
}

// poolLines returns the regression over the observations of several lines.
func poolLines(lines []Line) Line {
	var sum Line
	for _, l := range lines {
		sum.Samples += l.Samples
		sum.MeanX += l.MeanX * l.Samples
		sum.MeanY += l.MeanY * l.Samples
	}
	if sum.Samples == 0 {
		return Line{}
	}
	sum.MeanX /= sum.Samples
	sum.MeanY /= sum.Samples
	for _, l := range lines {
		dx, dy := l.MeanX-sum.MeanX, l.MeanY-sum.MeanY
		sum.VarX += (l.VarX + dx*dx) * l.Samples / sum.Samples
		sum.Cov += (l.Cov + dx*dy) * l.Samples / sum.Samples
	}
	return sum
}
