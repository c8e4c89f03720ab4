package quarantine

import (
	"slices"
	"time"
)

const (
	// simultaneousWindow is the time within which crashes count once against a prompt
	// part. Upstreams that end at the same moment have a cause outside the requests,
	// and a popular part runs on all of them.
	simultaneousWindow = 500 * time.Millisecond
	// forgivenCrashes is the number of crashes that still count after the suspension
	// of a part. The next crash then suspends it again.
	forgivenCrashes = suspensionThreshold - 1
)

// subject is what is known about one fingerprint.
type subject struct {
	interruptions map[Process]interruption
	lastSeen      time.Time
}

func newSubject() *subject { return &subject{interruptions: make(map[Process]interruption)} }

// interruption is a run that ended before its completion.
type interruption struct {
	at    time.Time
	state interruptionState
}

// interruptionState tells whether an interruption counts as a crash of the process.
type interruptionState int

const (
	// pending interruptions wait for the process to leave the instance list.
	pending interruptionState = iota
	// confirmed interruptions count as crashes.
	confirmed
	// cleared interruptions do not count. They are kept because other processes may
	// report them again.
	cleared
)

// possibleCrash and confirmedCrash select interruptions by their state.
func possibleCrash(s interruptionState) bool  { return s != cleared }
func confirmedCrash(s interruptionState) bool { return s == confirmed }

// interrupt adds an interruption and reports whether it was new.
func (w *subject) interrupt(process Process, now time.Time) bool {
	if _, known := w.interruptions[process]; known {
		return false
	}
	w.interruptions[process] = interruption{at: now}
	w.lastSeen = now
	return true
}

// clear marks all interruptions as cleared. It reports whether any of them still
// counted.
func (w *subject) clear(now time.Time) bool {
	changed := false
	for process, s := range w.interruptions {
		if s.state != cleared {
			changed = true
			w.interruptions[process] = interruption{at: s.at, state: cleared}
		}
	}
	w.lastSeen = now
	return changed
}

// forgive clears what no longer counts after the end of a suspension: all crashes of a
// request, and all but the last forgivenCrashes of a part.
func (w *subject) forgive(f Fingerprint, now time.Time) {
	if !f.IsPart() {
		w.clear(now)
		return
	}
	crashes := w.crashes(possibleCrash)
	processes := crashes.processes()
	for _, process := range processes[:max(0, len(processes)-forgivenCrashes)] {
		w.interruptions[process] = interruption{at: crashes[process], state: cleared}
	}
}

// settle confirms the pending interruptions whose process is no longer listed. It
// clears those whose process is still listed when confirmTimeout has passed since the
// interruption and since the list became readable.
func (w *subject) settle(now, since time.Time, listed func(Process) bool) {
	for process, s := range w.interruptions {
		if s.state != pending {
			continue
		}
		switch {
		case !listed(process):
			w.interruptions[process] = interruption{at: s.at, state: confirmed}
		case now.Sub(s.at) > confirmTimeout && now.Sub(since) > confirmTimeout:
			w.interruptions[process] = interruption{at: s.at, state: cleared}
		}
	}
}

// oldestPending returns the time of the oldest interruption that is not decided yet,
// or the zero time if there is none.
func (w *subject) oldestPending() time.Time {
	var oldest time.Time
	for _, s := range w.interruptions {
		if s.state == pending && (oldest.IsZero() || s.at.Before(oldest)) {
			oldest = s.at
		}
	}
	return oldest
}

// crashTimes maps processes to the times at which runs were interrupted there.
type crashTimes map[Process]time.Time

// crashes returns the interruptions in the selected states.
func (w *subject) crashes(selected func(interruptionState) bool) crashTimes {
	var out crashTimes
	for process, s := range w.interruptions {
		if !selected(s.state) {
			continue
		}
		if out == nil {
			out = make(crashTimes, len(w.interruptions))
		}
		out[process] = s.at
	}
	return out
}

// processes returns the processes in the order of their times.
func (c crashTimes) processes() []Process {
	out := make([]Process, 0, len(c))
	for process := range c {
		out = append(out, process)
	}
	slices.SortFunc(out, func(a, b Process) int { return c[a].Compare(c[b]) })
	return out
}

// count returns how many crashes count against the subject. Simultaneous crashes count
// once against a part.
func (c crashTimes) count(f Fingerprint) int {
	if !f.IsPart() {
		return len(c)
	}
	n := 0
	var last time.Time
	for _, process := range c.processes() {
		if at := c[process]; n == 0 || at.Sub(last) >= simultaneousWindow {
			n++
			last = at
		}
	}
	return n
}

// containsAll reports whether c has all processes of other.
func (c crashTimes) containsAll(other crashTimes) bool {
	for process := range other {
		if _, ok := c[process]; !ok {
			return false
		}
	}
	return true
}

// without returns the crashes that other does not have.
func (c crashTimes) without(other crashTimes) crashTimes {
	out := make(crashTimes, len(c))
	for process, at := range c {
		if _, ok := other[process]; !ok {
			out[process] = at
		}
	}
	return out
}
