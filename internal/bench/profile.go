package bench

import (
	"time"

	"github.com/fescueslip/fescueslip/internal/standin/costmodel"
)

// rateFactor scales the prefill and link rates of the stand-in engine. The stand-in
// is slow so that prefills are visible in a demo: at its rate a prefill takes the
// time of hundreds of output tokens, whereas several tens are expected.
const rateFactor = 3

// profile describes the installation of one user and its settings.
type profile struct {
	name        string
	prefills    int
	decodes     int
	services    int
	domains     int
	entries     int
	oneWayDelay time.Duration
	engine      costmodel.Params
	settings    settings
}

// settings are the policy settings and latency targets of an operator.
type settings struct {
	ttftTarget         time.Duration
	tpotTarget         time.Duration
	anticipation       float64       // fraction of the prefill time that the forecast of free memory may use; see package reserve
	queueLimit         time.Duration // longest wait for a reservation; see package admit
	maxYield           time.Duration // how long a late request yields to others; see fairqueue.Item
	predictionQuantile float64       // quantile of the output length that is predicted; see package predict
}

func engineParams() costmodel.Params {
	p := costmodel.Default()
	p.PrefillTokensPerSecond *= rateFactor
	p.LinkBytesPerSecond *= rateFactor
	return p
}

// huronbay returns the profile of an installation that prefers little wasted prefill
// over goodput, because its requests can wait.
func huronbay() profile {
	return profile{
		name: "huronbay", prefills: 4, decodes: 5, services: 3, domains: 3, entries: 3,
		oneWayDelay: 500 * time.Microsecond, engine: engineParams(),
		settings: settings{
			ttftTarget: 2 * time.Second, tpotTarget: 46 * time.Millisecond,
			anticipation: 0, queueLimit: 1300 * time.Millisecond, maxYield: 10 * time.Second, predictionQuantile: 0.9,
		},
	}
}

// consortium returns the profile of an installation that prefers goodput over little
// wasted prefill.
func consortium() profile {
	return profile{
		name: "consortium", prefills: 4, decodes: 5, services: 4, domains: 4, entries: 4,
		oneWayDelay: 1500 * time.Microsecond, engine: engineParams(),
		settings: settings{
			ttftTarget: time.Second, tpotTarget: 46 * time.Millisecond,
			anticipation: 0, queueLimit: 400 * time.Millisecond, maxYield: 10 * time.Second, predictionQuantile: 0.5,
		},
	}
}

// failureDomain returns the failure domain of the i-th server or entry. It spreads
// them evenly.
func (p profile) failureDomain(i int) string {
	return string(rune('a' + i%p.domains))
}
