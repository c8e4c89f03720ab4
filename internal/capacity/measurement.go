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

// Scale is how a figure is expected to grow with the size.
type Scale string

// The scales.
const (
	// Linear figures grow by a constant per unit of size.
	Linear Scale = "linear"
	// Log figures grow by a constant per doubling of the size.
	Log Scale = "log2"
	// Constant figures do not depend on the size; their slope shows whether that
	// holds, and their mean stands for the target size.
	Constant Scale = "constant"
	// Saturating figures stop growing within the measured sizes, as with the
	// number of failure domains; the largest size stands for the target size.
	Saturating Scale = "saturating"
)

// Series is one figure, measured at several sizes.
type Series struct {
	Name    string  `json:"name"`
	Unit    string  `json:"unit"` // of the figure
	Per     string  `json:"per"`  // what the size counts
	Scale   Scale   `json:"scale"`
	Target  float64 `json:"target"` // the size of the target system
	Command string  `json:"command"`
	Points  []Point `json:"points"`
}

// Line fits the series on its scale.
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

// AtTarget returns the figure that the fit gives for the target size.
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

// Measurements are the series by name, as committed.
type Measurements struct {
	Series []Series `json:"series"`
}

// Load reads a measurement file; a missing one is empty.
func Load(path string) (*Measurements, error) {
	m := new(Measurements)
	raw, err := os.ReadFile(path)
	if errors.Is(err, os.ErrNotExist) {
		return m, nil
	}
	if err != nil {
		return nil, errors.Wrap(err, "read measurements")
	}
	if err := json.Unmarshal(raw, m); err != nil {
		return nil, errors.Wrap(err, "decode measurements")
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
		return errors.Wrap(err, "write measurements")
	}
	return nil
}

// Add puts a point into its series, in place of an older one of the same size.
func (m *Measurements) Add(s Series, x, y float64) {
	i := slices.IndexFunc(m.Series, func(o Series) bool { return o.Name == s.Name })
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

// roundSignificant keeps four significant digits, which is more than a repetition reproduces.
func roundSignificant(v float64) float64 {
	var r float64
	_, _ = fmt.Sscan(fmt.Sprintf("%.4g", v), &r)
	return r
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

func formatFigure(v float64) string {
	a := math.Abs(v)
	if a >= 1000 && a < 1e15 {
		return fmt.Sprintf("%.0f", v)
	}
	return fmt.Sprintf("%.3g", v)
}

// Markers of the generated section of a page.
const (
	beginMarker = "<!-- measurements: generated by go test ./internal/capacity -run TestPage -update -->"
	endMarker   = "<!-- end of measurements -->"
)

// Render returns the page with its generated section replaced.
func Render(page string, m *Measurements) (string, error) {
	before, rest, ok := strings.Cut(page, beginMarker)
	if !ok {
		return "", errors.Errorf("the page lacks the line %s", beginMarker)
	}
	_, after, ok := strings.Cut(rest, endMarker)
	if !ok {
		return "", errors.Errorf("the page lacks the line %s", endMarker)
	}
	return before + beginMarker + "\n\n" + m.Table() + "\n" + endMarker + after, nil
}
