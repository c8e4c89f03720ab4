// Package quarantine prevents a request that crashes upstreams from crashing more
// than a few of them. A request is identified by its fingerprint.
//
// Entries use Record and Replica. After one crash the request is a suspect: it runs
// once more, never together with another suspect, on an upstream that depends only
// on the fingerprint. After crashes of two different upstreams it is quarantined,
// and all entries refuse it. The record is a single value in the key-value service.
// It is written only after crashes, by compare-and-swap. Each process keeps a copy,
// so that serving a request needs no remote read.
//
// Gateways use Watchlist, which works without a sidecar at the upstream.
package quarantine

import (
	"encoding/json"
	"slices"

	"github.com/go-faster/errors"
)

const (
	// crashLimit is the number of different crashed upstreams after which a
	// fingerprint is quarantined.
	crashLimit = 2
	// maxRecords limits the size of the stored value. At about 120 bytes per record,
	// the value stays far below the service's limit of 1 MB. The oldest record is
	// dropped first.
	maxRecords = 2000
)

// Status says how a request with a fingerprint may run.
type Status int

// Statuses of a fingerprint.
const (
	// Clear means that no crash is known.
	Clear Status = iota
	// Suspect means that one upstream crashed while it ran the request.
	Suspect
	// Quarantined means that two different upstreams crashed and that the request
	// must not run.
	Quarantined
)

// Crash holds a fingerprint and the upstreams that crashed while they ran it.
type Crash struct {
	Fingerprint Fingerprint `json:"fingerprint"`
	Upstreams   []string    `json:"upstreams"`
}

func (c Crash) status() Status {
	if len(c.Upstreams) >= crashLimit {
		return Quarantined
	}
	return Suspect
}

// Record holds all known crashes. The zero value is an empty record.
type Record struct {
	Crashes []Crash `json:"crashes"`
}

// Status returns how a request with the fingerprint may run.
func (r *Record) Status(f Fingerprint) Status {
	if i := r.find(f); i >= 0 {
		return r.Crashes[i].status()
	}
	return Clear
}

func (r *Record) find(f Fingerprint) int {
	return slices.IndexFunc(r.Crashes, func(c Crash) bool { return c.Fingerprint == f })
}

// ReportCrash adds the crash of an upstream that ran the fingerprint. It reports
// whether the record changed.
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
	if slices.Contains(c.Upstreams, upstream) || c.status() == Quarantined {
		return false
	}
	c.Upstreams = append(c.Upstreams, upstream)
	return true
}

// ClearSuspect removes a suspect that ran to completion. A quarantined fingerprint
// stays until an operator removes it. ClearSuspect reports whether the record
// changed.
func (r *Record) ClearSuspect(f Fingerprint) bool {
	i := r.find(f)
	if i < 0 || r.Crashes[i].status() == Quarantined {
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
		return nil, errors.Wrapf(err, "quarantine record at key %q is damaged; delete the key to start an empty record", Key)
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
