package bench

import (
	"time"

	"github.com/fescueslip/fescueslip/internal/standin/costmodel"
)

// speedup scales the stand-in's prefill and link rates. The stand-in is slowed
// down so that prefills are visible in a demo; at its rate a prefill costs
// hundreds of output tokens, whereas many tens are expected.
const speedup = 3

// profile describes one user's installation and settings.
type profile struct {
	name     string
	prefills int
	decodes  int
	services int
	domains  int
	entries  int
	oneWay   time.Duration
	engine   costmodel.Params
	settings settings
}

// settings are the operator's knobs and targets.
type settings struct {
	ttft         time.Duration
	tpot         time.Duration
	anticipation float64
	queueLimit   time.Duration
	maxYield     time.Duration
	quantile     float64
}

func engineCosts() costmodel.Params {
	p := costmodel.Default()
	p.PrefillTokensPerSecond *= speedup
	p.LinkBytesPerSecond *= speedup
	return p
}

// huronbay prefers low waste: its requests can wait.
func huronbay() profile {
	return profile{
		name: "huronbay", prefills: 4, decodes: 5, services: 3, domains: 3, entries: 3,
		oneWay: 500 * time.Microsecond, engine: engineCosts(),
		settings: settings{
			ttft: 2 * time.Second, tpot: 46 * time.Millisecond,
			anticipation: 0, queueLimit: 4 * time.Second, maxYield: 10 * time.Second, quantile: 0.9,
		},
	}
}

// consortium prefers goodput.
func consortium() profile {
	return profile{
		name: "consortium", prefills: 4, decodes: 5, services: 4, domains: 4, entries: 4,
		oneWay: 1500 * time.Microsecond, engine: engineCosts(),
		settings: settings{
			ttft: time.Second, tpot: 46 * time.Millisecond,
			anticipation: 0, queueLimit: 600 * time.Millisecond, maxYield: 10 * time.Second, quantile: 0.5,
		},
	}
}

// domain spreads servers and entries evenly over the failure domains.
func (p profile) domain(i int) string {
	return string(rune('a' + i%p.domains))
}
