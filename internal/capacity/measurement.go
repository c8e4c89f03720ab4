package capacity

import (
	"cmp"
	"encoding/json"
	"fmt"
	"math"
	"os"
	"slices"
	"strings"

	"github.com/go-faster/errors"
)

// Scale describes how a measured value is expected to grow with the size.
type Scale string

// Scales of a series.
const (
	// Linear values grow by a constant per unit of size.
	Linear Scale = "linear"
	// Log values grow by a constant per doubling of the size.
	Log Scale = "log2"
	// Constant values do not depend on the size. Their slope shows whether that
	// holds. The mean is the estimate for the target size.
	Constant Scale = "constant"
	// Saturating values stop growing within the measured sizes, for example
	// because they depend on the number of failure domains. The value at the
	// largest size is the estimate for the target size.
	Saturating Scale = "saturating"
)

// Series is one quantity, measured at several sizes.
type Series struct {
	Name    string  `json:"name"`
	Unit    string  `json:"unit"` // unit of the measured values
	Per     string  `json:"per"`  // unit of the size, such as processes
	Scale   Scale   `json:"scale"`
	Target  float64 `json:"target"` // size of the target system
	Command string  `json:"command"`
	Points  []Point `json:"points"`
}

// Line returns the line through the points. On the Log scale, it is a line over the
// binary logarithm of the size.
func (s *Series) Line() Line { return Fit(s.scaledPoints()) }

func (s *Series) scaledPoints() []Point {
	points := slices.Clone(s.Points)
	if s.Scale == Log {
		for i := range points {
			points[i].X = math.Log2(points[i].X)
		}
	}
	return points
}

// AtTarget returns the value estimated for the target size.
func (s *Series) AtTarget() float64 {
	switch s.Scale {
	case Constant:
		return s.mean()
	case Saturating:
		return s.Points[len(s.Points)-1].Y
	case Log:
		return s.Line().At(math.Log2(s.Target))
	default:
		return s.Line().At(s.Target)
	}
}

func (s *Series) mean() float64 {
	var sum float64
	for _, p := range s.Points {
		sum += p.Y
	}
	return sum / float64(len(s.Points))
}

// Measurements is the content of a measurement file: the series, sorted by name.
type Measurements struct {
	Series []Series `json:"series"`
}

// Load reads a measurement file. If the file does not exist, the result is empty.
func Load(path string) (*Measurements, error) {
	m := new(Measurements)
	raw, err := os.ReadFile(path)
	if errors.Is(err, os.ErrNotExist) {
		return m, nil
	}
	if err != nil {
		return nil, errors.Wrapf(err, "read measurements %s", path)
	}
	if err := json.Unmarshal(raw, m); err != nil {
		return nil, errors.Wrapf(err, "decode measurements %s", path)
	}
	return m, nil
}

// Save writes the measurement file.
func (m *Measurements) Save(path string) error {
	raw, err := json.MarshalIndent(m, "", "  ")
	if err != nil {
		return errors.Wrap(err, "encode measurements")
	}
	if err := os.WriteFile(path, append(raw, '\n'), 0o644); err != nil {
		return errors.Wrapf(err, "write measurements %s", path)
	}
	return nil
}

// Add adds a point to the series of the same name. It replaces an older point of the
// same size and the other fields of the series.
func (m *Measurements) Add(s Series, x, y float64) {
	i := slices.IndexFunc(m.Series, func(existing Series) bool { return existing.Name == s.Name })
	if i < 0 {
		m.Series = append(m.Series, s)
		i = len(m.Series) - 1
	}
	s.Points = slices.DeleteFunc(m.Series[i].Points, func(p Point) bool { return p.X == x })
	s.Points = append(s.Points, Point{X: x, Y: roundSignificant(y)})
	slices.SortFunc(s.Points, func(a, b Point) int { return cmp.Compare(a.X, b.X) })
	m.Series[i] = s
	slices.SortFunc(m.Series, func(a, b Series) int { return strings.Compare(a.Name, b.Name) })
}

// roundSignificant rounds to four significant digits, which is more than a repeated
// measurement reproduces.
func roundSignificant(v float64) float64 {
	var rounded float64
	_, _ = fmt.Sscan(fmt.Sprintf("%.4g", v), &rounded)
	return rounded
}

// Table renders the series as a Markdown table.
func (m *Measurements) Table() string {
	var b strings.Builder
	b.WriteString("| figure | measured (size: figure) | slope ± standard error | at the target size | command |\n|---|---|---|---|---|\n")
	for i := range m.Series {
		s := &m.Series[i]
		l := s.Line()
		fmt.Fprintf(&b, "| %s [%s] | %s | %s | %s | %s |\n", s.Name, s.Unit, s.pointsCell(), s.slopeCell(l), s.targetCell(), s.Command)
	}
	return b.String()
}

func (s *Series) targetCell() string {
	if len(s.Points) < 2 {
		return "–"
	}
	return fmt.Sprintf("%s at %s %s (%s)", formatFigure(s.AtTarget()), formatFigure(s.Target), s.Per, s.Scale)
}

func (s *Series) pointsCell() string {
	list := make([]string, len(s.Points))
	for i, p := range s.Points {
		list[i] = formatFigure(p.X) + ": " + formatFigure(p.Y)
	}
	return strings.Join(list, ", ")
}

func (s *Series) slopeCell(l Line) string {
	unit := "per " + s.Per
	if s.Scale == Log {
		unit = "per doubling"
	}
	if len(s.Points) < 2 {
		return "one size only"
	}
	if math.IsNaN(l.SlopeError) {
		return formatFigure(l.Slope) + " " + unit
	}
	return formatFigure(l.Slope) + " ± " + formatFigure(l.SlopeError) + " " + unit
}

// formatFigure formats a value with three significant digits, or as an integer from
// 1000 to 1e15.
func formatFigure(v float64) string {
	magnitude := math.Abs(v)
	if magnitude >= 1000 && magnitude < 1e15 {
		return fmt.Sprintf("%.0f", v)
	}
	return fmt.Sprintf("%.3g", v)
}

// Lines that enclose the generated section of a page.
const (
	beginMarker = "<!-- measurements: generated by go test ./internal/capacity -run TestPage -update -->"
	endMarker   = "<!-- end of measurements -->"
)

// Render returns the page with the table of m as its generated section.
func Render(page string, m *Measurements) (string, error) {
	before, rest, ok := strings.Cut(page, beginMarker)
	if !ok {
		return "", errors.Errorf("the page lacks the begin marker %s", beginMarker)
	}
	_, after, ok := strings.Cut(rest, endMarker)
	if !ok {
		return "", errors.Errorf("the page lacks the end marker %s after the begin marker", endMarker)
	}
	return before + beginMarker + "\n\n" + m.Table() + "\n" + endMarker + after, nil
}
