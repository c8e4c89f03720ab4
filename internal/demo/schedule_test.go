package demo

import (
	"context"
	"flag"
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"
	"testing/synctest"
	"time"
)

var (
	seedCount = flag.Int("fault-seeds", 120, "number of random fault schedules")
	firstSeed = flag.Uint64("fault-first-seed", 1, "first seed of the fault schedules")
)

const (
	scheduleLoad  = 12 * time.Second
	meanFaultGap  = 1500 * time.Millisecond
	minFaultTime  = 200 * time.Millisecond
	maxFaultTime  = 4 * time.Second
	stopBubbleEnd = 5 * time.Second
)

// fault is one step of a schedule.
type fault struct {
	at     time.Duration
	target string
	kind   string
	length time.Duration
}

func (f fault) String() string {
	return fmt.Sprintf("%s: %s %s for %s", f.at, f.target, f.kind, f.length)
}

// randomSchedule draws faults of all registered targets and kinds.
func randomSchedule(f *Fleet, seed uint64) []fault {
	r := rand.New(rand.NewPCG(seed, 0))
	targets := f.registry.Targets()
	var list []fault
	for at := time.Duration(0); ; {
		at += time.Duration(r.ExpFloat64() * float64(meanFaultGap))
		if at >= scheduleLoad {
			return list
		}
		t := targets[r.IntN(len(targets))]
		list = append(list, fault{
			at:     at,
			target: t.Target,
			kind:   t.Kinds[r.IntN(len(t.Kinds))],
			length: minFaultTime + time.Duration(r.Int64N(int64(maxFaultTime))),
		})
	}
}

// runSchedule runs a load with faults and returns the report.
func runSchedule(ctx context.Context, t *testing.T, seed uint64) (*Report, []fault) {
	f, err := Start(ctx, testOptions(t))
	if err != nil {
		t.Fatal(err)
	}
	defer time.Sleep(stopBubbleEnd)
	defer f.Stop()
	schedule := randomSchedule(f, seed)
	go func() {
		begin := time.Now()
		for _, step := range schedule {
			time.Sleep(step.at - time.Since(begin))
			t.Log(step)
			if err := f.registry.Start(step.target, step.kind, step.length); err != nil {
				t.Errorf("%s: %v", step, err)
			}
		}
	}()
	load := DefaultLoad(scheduleLoad)
	load.Seed = seed
	load.ModelRate = 5
	load.MaxPrompt = 3000
	load.MaxOutput = 120
	return f.Run(ctx, load), schedule
}

// Guards against a broken promise under random faults, alone, together and in a
// row: repeated or incomplete answers, a booking that ran twice, an untruthful
// "not run", and engine memory that stays held. The seed is in the name of the
// subtest; -fault-first-seed and -fault-seeds choose others.
func TestFaultSchedules(t *testing.T) {
	for i := range *seedCount {
		seed := *firstSeed + uint64(i)
		t.Run(fmt.Sprintf("seed-%d", seed), func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) {
				r, schedule := runSchedule(t.Context(), t, seed)
				if len(r.Broken) == 0 {
					return
				}
				var steps strings.Builder
				for _, s := range schedule {
					fmt.Fprintln(&steps, s)
				}
				t.Errorf("seed %d broke:\n%s\nschedule:\n%s", seed, strings.Join(r.Broken, "\n"), steps.String())
			})
		})
	}
}
