package gossip

import (
	"encoding/binary"
	"time"

	"github.com/fescueslip/fescueslip/internal/lending"
)

const (
	// maxQuotas limits the entries of a quota report that are accepted in one message.
	maxQuotas = 1 << 14
	// maxPeriod limits the number of a period.
	maxPeriod = 1<<32 - 1
	// maxFilled limits the time for which resources have been filled, in units of
	// filledUnit.
	maxFilled  = 1 << 40
	filledUnit = time.Millisecond
)

// Values of the field that says whether a quota report's levels are valid.
const (
	unsettled = 0
	settled   = 1
)

// noQuotas stands for a missing quota report if further fields follow. Its incarnation is 0;
// those of processes are random.
var noQuotas lending.Report

// appendQuotas appends the quota report. Units are sent as whole numbers.
func appendQuotas(b []byte, report *lending.Report) []byte {
	state := uint64(unsettled)
	if report.Settled {
		state = settled
	}
	b = binary.AppendUvarint(b, state)
	b = binary.AppendUvarint(b, report.Incarnation)
	// A time above 0 says that the report is complete, so it is rounded up.
	b = binary.AppendUvarint(b, uint64((report.Filled+filledUnit-1)/filledUnit))
	b = binary.AppendUvarint(b, uint64(len(report.Entries)))
	for _, e := range report.Entries {
		b = binary.LittleEndian.AppendUint64(b, uint64(e.Resource))
		b = binary.AppendUvarint(b, uint64(e.Period))
		b = binary.AppendVarint(b, int64(e.Spent))
		b = binary.AppendVarint(b, int64(e.Level))
	}
	return b
}

// appendHeard appends the set of gateways that the sender of a quota report hears, 8 bytes.
func appendHeard(b []byte, heard lending.HolderSet) []byte {
	return binary.LittleEndian.AppendUint64(b, uint64(heard))
}

// heard reads the set of gateways that the sender of a quota report hears. A message of an
// earlier release has none.
func (r *reader) heard(report *lending.Report) {
	if report != nil && len(r.rest) > 0 {
		report.Heard = lending.HolderSet(r.key())
	}
}

// quotas reads the quota report. A message of an earlier release, or of a gateway without
// quotas, has none.
func (r *reader) quotas(partial bool) *lending.Report {
	if r.err != nil || len(r.rest) == 0 {
		return nil
	}
	report := &lending.Report{Partial: partial, Settled: r.uvarint(settled) == settled, Incarnation: r.uvarint(1<<64 - 1)}
	report.Filled = time.Duration(r.uvarint(maxFilled)) * filledUnit
	for range r.uvarint(maxQuotas) {
		e := lending.Entry{Resource: lending.ID(r.key()), Period: uint32(r.uvarint(maxPeriod))}
		e.Spent, e.Level = float64(r.varint()), float64(r.varint())
		if r.err != nil {
			return nil
		}
		report.Entries = append(report.Entries, e)
	}
	if report.Incarnation == noQuotas.Incarnation && len(report.Entries) == 0 {
		return nil
	}
	return report
}
