package gateway

import (
	"slices"
	"strings"
	"time"

	"github.com/fescueslip/fescueslip/internal/policy/overload"
)

// ClassReport is what a gateway counted of the classes of one service.
type ClassReport struct {
	Service string
	Classes []overload.ClassCount
}

// FairnessReport tells the other gateways what a gateway has served lately, so that the
// shares of classes and accounts hold over all of them.
type FairnessReport struct {
	// Classes lists the services whose requests compete.
	Classes []ClassReport
	// Model and Plain are the work of accounts in tokens of model requests and in seconds of
	// plain calls.
	Model, Plain overload.AccountsReport
}

const (
	// maxReportedAccounts limits the accounts in one report.
	maxReportedAccounts = 16
	// reportedAccountsBudget limits the accounts in the reports that one gateway sends to
	// all others together: about 20 KB with names of ten bytes.
	reportedAccountsBudget = 1024
)

// fairnessReport returns the report of this gateway, or nil if it has none because neither
// classes nor accounts compete.
func (g *Gateway) fairnessReport(now time.Time) *FairnessReport {
	accounts := min(maxReportedAccounts, max(1, reportedAccountsBudget/max(1, g.RecentGateways())))
	var r FairnessReport
	g.scheduler.reportFairness(&r, accounts, now)
	g.plainQueue.reportFairness(&r, accounts, now)
	if len(r.Classes) == 0 && r.Model.Active == 0 && r.Plain.Active == 0 {
		return nil
	}
	slices.SortFunc(r.Classes, func(a, b ClassReport) int { return strings.Compare(a.Service, b.Service) })
	return &r
}

// receiveFairness applies the report of another gateway. Services that are not in the
// routing table are ignored, since a peer may report any name and each would be stored.
func (g *Gateway) receiveFairness(peer string, r *FairnessReport, now time.Time) {
	table := g.Tables.Table()
	if r == nil || table == nil {
		return
	}
	var model, plain []ClassReport
	for _, c := range r.Classes {
		switch s := table.Services[c.Service]; {
		case s == nil:
		case s.Engine != nil:
			model = append(model, c)
		default:
			plain = append(plain, c)
		}
	}
	g.scheduler.receiveFairness(peer, model, r.Model, now)
	g.plainQueue.receiveFairness(peer, plain, r.Plain, now)
}

// reportFairness adds what this gateway placed of model requests.
func (s *scheduler) reportFairness(r *FairnessReport, accounts int, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	elapsed := now.Sub(s.overload.start)
	r.Model = s.overload.accounts.Report(elapsed, accounts)
	for name, classes := range s.overload.classes {
		m := s.overload.mixes[name]
		if r.Model.Active == 0 && (m == nil || !m.Mixed()) {
			continue // The requests do not compete; see comparesRequests.
		}
		if report := classes.Report(elapsed); len(report) > 0 {
			r.Classes = append(r.Classes, ClassReport{Service: name, Classes: report})
		}
	}
}

func (s *scheduler) receiveFairness(peer string, classes []ClassReport, accounts overload.AccountsReport, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	elapsed := now.Sub(s.overload.start)
	for _, c := range classes {
		s.overload.classesOf(c.Service).Receive(elapsed, peer, c.Classes)
	}
	s.overload.accounts.Receive(elapsed, peer, accounts)
}

// reportFairness adds what this gateway sent of plain calls.
func (q *plainQueue) reportFairness(r *FairnessReport, accounts int, now time.Time) {
	q.mu.Lock()
	defer q.mu.Unlock()
	elapsed := now.Sub(q.start)
	for name, s := range q.queues {
		if report := s.classes.Report(elapsed); s.mix.Mixed() && len(report) > 0 {
			r.Classes = append(r.Classes, ClassReport{Service: name, Classes: report})
		}
	}
	r.Plain = q.accounts.Report(elapsed, accounts)
}

func (q *plainQueue) receiveFairness(peer string, classes []ClassReport, accounts overload.AccountsReport, now time.Time) {
	q.mu.Lock()
	defer q.mu.Unlock()
	elapsed := now.Sub(q.start)
	for _, c := range classes {
		q.queueOf(c.Service).classes.Receive(elapsed, peer, c.Classes)
	}
	q.accounts.Receive(elapsed, peer, accounts)
}
