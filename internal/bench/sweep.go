package bench

import (
	"encoding/csv"
	"fmt"
	"os"
	"path/filepath"
	"strconv"

	"github.com/go-faster/errors"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
)

const (
	plotWidth  = 16 * vg.Centimeter
	plotHeight = 10 * vg.Centimeter
)

// SweepConfig describes a sweep. Base is the configuration of the first run; each
// curve replaces the values that it varies.
type SweepConfig struct {
	Base Config
	// Seeds is the number of runs, with consecutive seeds, whose mean makes a point.
	Seeds int
	// Dir is the directory of the files. It is created if it does not exist.
	Dir string
}

// sweepPoint is the mean of the runs of one policy, load and anticipation.
type sweepPoint struct {
	policy             string
	load, anticipation float64
	mean               Result
}

// Sweep runs all policies over a range of loads and policy fescueslip over a range
// of anticipations, and writes the curves as CSV and PNG files.
func Sweep(cfg SweepConfig) error {
	if cfg.Dir == "" {
		return errors.New("the directory for the curves is not set; use -out")
	}
	if err := os.MkdirAll(cfg.Dir, 0o755); err != nil {
		return errors.Wrapf(err, "create directory %s", cfg.Dir)
	}
	loads, err := cfg.runLoads()
	if err != nil {
		return err
	}
	anticipations, err := cfg.runAnticipations()
	if err != nil {
		return err
	}
	if err := cfg.writeCSV("load.csv", loads); err != nil {
		return err
	}
	if err := cfg.writeCSV("anticipation.csv", anticipations); err != nil {
		return err
	}
	return cfg.writePlots(loads, anticipations)
}

func (cfg SweepConfig) runLoads() ([]sweepPoint, error) {
	var points []sweepPoint
	for _, policy := range Policies() {
		for load := 5; load <= 15; load++ {
			run := cfg.Base
			run.Policy, run.Load = policy, float64(load)/10
			p, err := cfg.runPoint(run)
			if err != nil {
				return nil, err
			}
			points = append(points, p)
		}
	}
	return points, nil
}

func (cfg SweepConfig) runAnticipations() ([]sweepPoint, error) {
	var points []sweepPoint
	for i := range 9 {
		run := cfg.Base
		run.Policy, run.Anticipation = PolicyFescueslip, float64(i)/8
		p, err := cfg.runPoint(run)
		if err != nil {
			return nil, err
		}
		points = append(points, p)
	}
	return points, nil
}

func (cfg SweepConfig) runPoint(run Config) (sweepPoint, error) {
	m, err := RunSeeds(run, cfg.Seeds)
	if err != nil {
		return sweepPoint{}, err
	}
	return sweepPoint{policy: run.Policy, load: run.Load, anticipation: run.Anticipation, mean: m}, nil
}

// RunSeeds returns the mean of runs with consecutive seeds, starting at cfg.Seed. It
// makes at least one run.
func RunSeeds(cfg Config, seeds int) (Result, error) {
	var results []Result
	first := cfg.Seed
	for i := range max(1, seeds) {
		cfg.Seed = first + uint64(i)
		res, err := Run(cfg)
		if err != nil {
			return Result{}, err
		}
		results = append(results, res)
	}
	return Mean(results), nil
}

// Mean returns the mean of each field. Counts are rounded down.
func Mean(results []Result) Result {
	var m Result
	n := float64(len(results))
	for _, r := range results {
		m.Offered += r.Offered
		m.Finished += r.Finished
		m.RefusedNotExecuted += r.RefusedNotExecuted
		m.LeakedTokens += r.LeakedTokens
		m.DuplicateRuns += r.DuplicateRuns
		m.GoodputRatio += r.GoodputRatio / n
		m.WastedPrefillRatio += r.WastedPrefillRatio / n
		m.TTFTP50ms += r.TTFTP50ms / n
		m.TTFTP95ms += r.TTFTP95ms / n
		m.TPOTP95ms += r.TPOTP95ms / n
		m.FairnessMaxOverMin += r.FairnessMaxOverMin / n
		m.QuietCallerTTFTRatio += r.QuietCallerTTFTRatio / n
		m.LookupP95ms += r.LookupP95ms / n
		m.IdleLookupP95ms += r.IdleLookupP95ms / n
		m.UpperBoundGoodput += r.UpperBoundGoodput / n
	}
	for _, count := range []*int{&m.Offered, &m.Finished, &m.RefusedNotExecuted, &m.LeakedTokens, &m.DuplicateRuns} {
		*count /= max(1, len(results))
	}
	return m
}

func (cfg SweepConfig) writeCSV(name string, points []sweepPoint) (err error) {
	f, err := os.Create(filepath.Join(cfg.Dir, name))
	if err != nil {
		return errors.Wrapf(err, "create CSV file %s", name)
	}
	defer func() {
		if cerr := f.Close(); err == nil {
			err = cerr
		}
	}()
	w := csv.NewWriter(f)
	_ = w.Write([]string{"policy", "load", "anticipation", "goodput_ratio", "upper_bound_goodput_ratio",
		"wasted_prefill_ratio", "ttft_p95_ms", "fairness_max_over_min", "quiet_caller_ttft_ratio"})
	for _, p := range points {
		row := []string{p.policy}
		m := p.mean
		for _, v := range []float64{p.load, p.anticipation, m.GoodputRatio, m.UpperBoundGoodput,
			m.WastedPrefillRatio, m.TTFTP95ms, m.FairnessMaxOverMin, m.QuietCallerTTFTRatio} {
			row = append(row, strconv.FormatFloat(v, 'f', 5, 64))
		}
		_ = w.Write(row)
	}
	w.Flush()
	return w.Error()
}

func (cfg SweepConfig) writePlots(loads, anticipations []sweepPoint) error {
	goodput := func(r Result) float64 { return r.GoodputRatio }
	waste := func(r Result) float64 { return r.WastedPrefillRatio }
	if err := cfg.plotLoads("goodput.png", "goodput ratio", loads, goodput, true); err != nil {
		return err
	}
	if err := cfg.plotLoads("waste.png", "wasted prefill ratio", loads, waste, false); err != nil {
		return err
	}
	return cfg.plotAnticipation(anticipations)
}

// plotLoads plots a value of each policy over the load. With bound, it adds the upper
// bound of the goodput.
func (cfg SweepConfig) plotLoads(file, label string, points []sweepPoint, value func(Result) float64, bound bool) error {
	pl := plot.New()
	pl.Title.Text = fmt.Sprintf("%s, fault %s", cfg.Base.Profile, cfg.Base.Fault)
	pl.X.Label.Text, pl.Y.Label.Text = "load", label
	pl.Y.Min = 0
	pl.Legend.Left = true
	pl.Legend.Top = !bound
	var lines []any
	for _, policy := range Policies() {
		lines = append(lines, policy, linePoints(points, policy, value))
	}
	if bound {
		lines = append(lines, "upper bound", linePoints(points, PolicyFescueslip, func(r Result) float64 { return r.UpperBoundGoodput }))
	}
	if err := plotutil.AddLinePoints(pl, lines...); err != nil {
		return errors.Wrapf(err, "add lines to %s", file)
	}
	return cfg.savePlot(pl, file)
}

func linePoints(points []sweepPoint, policy string, value func(Result) float64) plotter.XYs {
	var line plotter.XYs
	for _, p := range points {
		if p.policy == policy {
			line = append(line, plotter.XY{X: p.load, Y: value(p.mean)})
		}
	}
	return line
}

// plotAnticipation plots goodput against wasted prefill, one point per anticipation.
func (cfg SweepConfig) plotAnticipation(points []sweepPoint) error {
	pl := plot.New()
	pl.Title.Text = fmt.Sprintf("%s, load %.1f, fault %s: anticipation 0 to 1", cfg.Base.Profile, cfg.Base.Load, cfg.Base.Fault)
	pl.X.Label.Text, pl.Y.Label.Text = "wasted prefill ratio", "goodput ratio"
	var list plotter.XYs
	var names []string
	for _, p := range points {
		list = append(list, plotter.XY{X: p.mean.WastedPrefillRatio, Y: p.mean.GoodputRatio})
		names = append(names, strconv.FormatFloat(p.anticipation, 'g', 3, 64))
	}
	if err := plotutil.AddLinePoints(pl, list); err != nil {
		return errors.Wrap(err, "add line to anticipation.png")
	}
	labels, err := plotter.NewLabels(plotter.XYLabels{XYs: list, Labels: names})
	if err != nil {
		return errors.Wrap(err, "label points of anticipation.png")
	}
	pl.Add(labels)
	return cfg.savePlot(pl, "anticipation.png")
}

func (cfg SweepConfig) savePlot(pl *plot.Plot, file string) error {
	if err := pl.Save(plotWidth, plotHeight, filepath.Join(cfg.Dir, file)); err != nil {
		return errors.Wrapf(err, "save plot %s", file)
	}
	return nil
}
