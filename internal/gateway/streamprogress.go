package gateway

import "time"

const (
	// progressWindow is the least time over which the interval between the events of a
	// running stream is measured. A stream takes some seconds, too long to wait for its end
	// if its engine has become slow.
	progressWindow = 400 * time.Millisecond
	// blockedWrite is the time of a write to the client from which on the stream is as fast
	// as the client and not as the engine. The events that wait meanwhile then arrive at
	// once, so the next window tells nothing either.
	blockedWrite = 50 * time.Millisecond
)

// streamProgress measures the interval between events of a running stream.
type streamProgress struct {
	// report, if set, is called for each window with the number of events since its start.
	report func(events int, took time.Duration)
	// start is the time of the event before the first one of the window; zero before the
	// first event.
	start  time.Time
	events int
	// skip means that the window is not reported.
	skip bool
}

// reset begins a new run of the stream.
func (p *streamProgress) reset() { p.start, p.events, p.skip = time.Time{}, 0, false }

// add includes events that arrived together. blocked is how long the client took to accept
// them.
func (p *streamProgress) add(events int, at time.Time, blocked time.Duration) {
	switch took := at.Sub(p.start); {
	case p.start.IsZero():
		p.start = at
	case p.skip && took >= progressWindow:
		p.start, p.events, p.skip = at, 0, false
	default:
		p.events += events
		if took >= progressWindow && p.events > 0 && !p.skip {
			if p.report != nil {
				p.report(p.events, took)
			}
			p.start, p.events = at, 0
		}
	}
	if blocked >= blockedWrite {
		p.start, p.events, p.skip = at.Add(blocked), 0, true
	}
}
