package gossip

import (
	"encoding/binary"

	"github.com/fescueslip/fescueslip/internal/gateway"
	"github.com/fescueslip/fescueslip/internal/policy/overload"
)

const (
	// maxClassServices and maxClasses limit the services, and the classes of each, in one
	// message.
	maxClassServices = 64
	maxClasses       = 64
	// maxAccounts limits the accounts that are accepted in one message.
	maxAccounts = 256
	// classUnit is the resolution of decayed numbers of requests.
	classUnit = 1.0 / 16
	// modelWorkUnit and plainWorkUnit are the resolutions of the work of accounts, in tokens
	// and in seconds.
	modelWorkUnit = tokenUnit
	plainWorkUnit = 0.001
)

// appendAmount appends an amount in the given unit. One that is out of range is sent as the
// nearest one in range.
func appendAmount(b []byte, amount, unit float64) []byte {
	return binary.AppendUvarint(b, uint64(min(max(0, amount/unit), maxCount)))
}

func (r *reader) amount(unit float64) float64 { return float64(r.uvarint(maxCount)) * unit }

// appendFairness appends what the sender has served of classes and accounts: about 20 bytes a
// class and 15 an account. It comes after all fields that processes of an earlier release
// read.
func appendFairness(b []byte, f *gateway.FairnessReport) []byte {
	services := f.Classes[:min(len(f.Classes), maxClassServices)]
	b = binary.AppendUvarint(b, uint64(len(services)))
	for _, s := range services {
		classes := s.Classes[:min(len(s.Classes), maxClasses)]
		b = appendString(b, s.Service)
		b = binary.AppendUvarint(b, uint64(len(classes)))
		for _, c := range classes {
			b = binary.AppendUvarint(b, uint64(min(max(0, c.Priority), maxPriority)))
			for _, n := range []float64{c.Arrived, c.Served, c.Refused, c.Lost} {
				b = appendAmount(b, n, classUnit)
			}
		}
	}
	return appendAccounts(appendAccounts(b, f.Model, modelWorkUnit), f.Plain, plainWorkUnit)
}

// appendAccounts appends the work of accounts. Accounts whose name is too long for a message
// count only in the total.
func appendAccounts(b []byte, report overload.AccountsReport, unit float64) []byte {
	var accounts []overload.AccountWork
	for _, a := range report.Accounts[:min(len(report.Accounts), maxAccounts)] {
		if len(a.Name) <= maxStringLength {
			accounts = append(accounts, a)
		}
	}
	b = appendAmount(b, report.Total, unit)
	b = binary.AppendUvarint(b, uint64(report.Active))
	b = binary.AppendUvarint(b, uint64(len(accounts)))
	for _, a := range accounts {
		b = appendAmount(appendString(b, a.Name), a.Work, unit)
	}
	return b
}

// fairness reads what the sender has served. A message of an earlier release, or of a gateway
// where no classes or accounts compete, has nothing.
func (r *reader) fairness() *gateway.FairnessReport {
	if r.err != nil || len(r.rest) == 0 {
		return nil
	}
	f := &gateway.FairnessReport{}
	for range r.uvarint(maxClassServices) {
		s := gateway.ClassReport{Service: r.str()}
		for range r.uvarint(maxClasses) {
			c := overload.ClassCount{Priority: int(r.uvarint(maxPriority))}
			for _, n := range []*float64{&c.Arrived, &c.Served, &c.Refused, &c.Lost} {
				*n = r.amount(classUnit)
			}
			s.Classes = append(s.Classes, c)
		}
		f.Classes = append(f.Classes, s)
	}
	f.Model, f.Plain = r.accounts(modelWorkUnit), r.accounts(plainWorkUnit)
	if r.err != nil {
		return nil
	}
	return f
}

func (r *reader) accounts(unit float64) (report overload.AccountsReport) {
	report.Total, report.Active = r.amount(unit), int(r.uvarint(maxCount))
	for range r.uvarint(maxAccounts) {
		report.Accounts = append(report.Accounts, overload.AccountWork{Name: r.str(), Work: r.amount(unit)})
	}
	return report
}
