package overload

import (
	"slices"

	"github.com/fescueslip/fescueslip/internal/policy/waitqueue"
)

// Overtaking reports which of the requests precede less urgent ones although those can
// still meet their target. They are late, of a class that is behind, and one of their class
// is lost unless they are served from now on: the work that precedes it leaves it less than
// its window. If only the last window before the deadline counted, the places until then
// would go to less urgent requests, and too few would remain for a queue that is longer than
// what is served in one window.
func Overtaking(in Input, behind func(priority int) bool) []bool {
	overtaking := make([]bool, len(in.Requests))
	classes := lateByClass(in, behind)
	if len(classes) == 0 {
		return overtaking
	}
	meanWork := meanWorkOf(in.Requests)
	for p, class := range classes {
		for _, i := range class[:atRisk(in, p, class, meanWork)] {
			overtaking[i] = true
		}
	}
	return overtaking
}

// lateByClass returns the indexes of the late requests of each class that is behind, in the
// order of service.
func lateByClass(in Input, behind func(priority int) bool) map[int][]int {
	classes := make(map[int][]int)
	isBehind := make(map[int]bool)
	for i := range in.Requests {
		p := in.Requests[i].Priority
		if in.Requests[i].OnTime() {
			continue
		}
		if _, known := isBehind[p]; !known {
			isBehind[p] = behind(p)
		}
		if isBehind[p] {
			classes[p] = append(classes[p], i)
		}
	}
	for _, class := range classes {
		slices.SortStableFunc(class, func(a, b int) int {
			return waitqueue.Compare(&in.Requests[a].Request, &in.Requests[b].Request)
		})
	}
	return classes
}

// atRisk returns the number of late requests of a class up to the last one that the preceding
// work leaves less than its window. The indexes are in the order of service.
func atRisk(in Input, priority int, class []int, meanWork Work) int {
	work, lateElsewhere := precedingClass(in, priority, meanWork)
	last := 0
	for n, i := range class {
		r := &in.Requests[i]
		rank := float64(n) / float64(len(class))
		if wait := in.Capacity.Drain(work.Plus(meanWork, rank*lateElsewhere)); wait+r.OvertakeWindow > r.TimeToAbandonment {
			last = n + 1
		}
		work = work.Plus(r.Work, 1)
	}
	return last
}

// precedingClass returns the work of all requests that precede the late ones of a class,
// apart from less urgent ones, and the number of late ones of the class at other gateways.
func precedingClass(in Input, priority int, meanWork Work) (work Work, lateElsewhere float64) {
	for i := range in.Requests {
		if r := &in.Requests[i]; r.Priority < priority || r.Priority == priority && r.OnTime() {
			work = work.Plus(r.Work, 1)
		}
	}
	for _, o := range in.Others {
		switch {
		case o.Priority < priority:
			work = work.Plus(meanWork, float64(o.OnTime+o.Late))
		case o.Priority == priority:
			work = work.Plus(meanWork, float64(o.OnTime))
			lateElsewhere += float64(o.Late)
		}
	}
	return work, lateElsewhere
}

// meanWorkOf returns the mean work of the requests.
func meanWorkOf(requests []Request) (mean Work) {
	for i := range requests {
		mean = mean.Plus(requests[i].Work, 1/float64(len(requests)))
	}
	return mean
}
