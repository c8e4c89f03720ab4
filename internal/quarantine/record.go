// Package quarantine keeps a request that crashes upstreams from crashing more
// than two of them. A request is known by its fingerprint. After one crash it is
// a suspect: it runs once more, beside no other suspect, at an upstream that
// follows from the fingerprint alone. After crashes of two different upstreams
// it is quarantined and refused everywhere.
//
// The record lives in one value of the key-value service and is written only
// after crashes, by compare-and-swap. Each process keeps a copy, so that the
// path of a request reads no remote state.
package quarantine

import (
	"encoding/hex"
	"encoding/json"
	"slices"

	"github.com/go-faster/errors"
)

const (
	// crashLimit is the number of different upstreams after which a
	// fingerprint is quarantined.
	crashLimit = 2
	// maxRecords bounds the value; at about 120 bytes a record it stays far
	// below the service's limit of 1 MB. The oldest record is dropped first.
	maxRecords = 2000
)

// Fingerprint identifies what a request makes the engines run.
type Fingerprint [16]byte

// String returns the hex digits that name the fingerprint in logs and keys.
func (f Fingerprint) String() string { return hex.EncodeToString(f[:]) }

// MarshalText implements encoding.TextMarshaler.
func (f Fingerprint) MarshalText() ([]byte, error) { return []byte(f.String()), nil }

// UnmarshalText implements encoding.TextUnmarshaler.
func (f *Fingerprint) UnmarshalText(text []byte) error {
	raw, err := hex.DecodeString(string(text))
	if err != nil || len(raw) != len(f) {
		return errors.Errorf("fingerprint %q: want %d hex digits", text, 2*len(f))
	}
	copy(f[:], raw)
	return nil
}

// Status tells how a request with a fingerprint may run.
type Status int

// The verdicts.
const (
	// Clear: no crash is known.
	Clear Status = iota
	// Suspect: one upstream crashed with the request in flight.
	Suspect
	// Quarantined: two different upstreams crashed; the request must not run.
	Quarantined
)

// Crash is one fingerprint with the upstreams that crashed while they ran it.
type Crash struct {
	Fingerprint Fingerprint `json:"fingerprint"`
	Upstreams   []string    `json:"upstreams"`
}

func (c Crash) verdict() Status {
	if len(c.Upstreams) >= crashLimit {
		return Quarantined
	}
	return Suspect
}

// Record is the aggregate of all known crashes. The zero value is empty.
type Record struct {
	Crashes []Crash `json:"crashes"`
}

// Status returns how a request with the fingerprint may run.
func (r *Record) Status(f Fingerprint) Status {
	if i := r.find(f); i >= 0 {
		return r.Crashes[i].verdict()
	}
	return Clear
}

func (r *Record) find(f Fingerprint) int {
	return slices.IndexFunc(r.Crashes, func(c Crash) bool { return c.Fingerprint == f })
}

// ReportCrash notes that an upstream crashed while it ran the fingerprint. It
// reports whether the record changed.
func (r *Record) ReportCrash(f Fingerprint, upstream string) bool {
	i := r.find(f)
	if i < 0 {
		if len(r.Crashes) >= maxRecords {
			r.Crashes = slices.Delete(r.Crashes, 0, 1)
		}
		r.Crashes = append(r.Crashes, Crash{Fingerprint: f, Upstreams: []string{upstream}})
		return true
	}
	c := &r.Crashes[i]
	if slices.Contains(c.Upstreams, upstream) || c.verdict() == Quarantined {
		return false
	}
	c.Upstreams = append(c.Upstreams, upstream)
	return true
}

// ClearSuspect removes a suspect that ran to its end. A quarantined fingerprint stays
// until an operator removes it. It reports whether the record changed.
func (r *Record) ClearSuspect(f Fingerprint) bool {
	i := r.find(f)
	if i < 0 || r.Crashes[i].verdict() == Quarantined {
		return false
	}
	r.Crashes = slices.Delete(r.Crashes, i, i+1)
	return true
}

func decode(raw []byte) (*Record, error) {
	r := new(Record)
	if len(raw) == 0 {
		return r, nil
	}
	if err := json.Unmarshal(raw, r); err != nil {
		return nil, errors.Wrap(err, "quarantine record is damaged; delete its key to start an empty one")
	}
	return r, nil
}

func (r *Record) encode() ([]byte, error) { return json.Marshal(r) }

func (r *Record) clone() *Record {
	c := &Record{Crashes: slices.Clone(r.Crashes)}
	for i := range c.Crashes {
		c.Crashes[i].Upstreams = slices.Clone(c.Crashes[i].Upstreams)
	}
	return c
}
