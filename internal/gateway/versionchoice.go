package gateway

import (
	"cmp"
	"slices"
	"time"

	"github.com/fescueslip/fescueslip/internal/fleet"
)

// minGoOnEngines is the number of decode engines of a version from which a stream that
// breaks off at one of them can go on at another.
const minGoOnEngines = 2

// prefillChoices returns the prefill engines to try for a request, the best one first: one
// for each software version, since a decode engine can only import what its own version
// wrote. Versions at which a resumable stream could not go on come last, and those without
// a prefill engine after the others.
func (s *scheduler) prefillChoices(w *waitingRequest, now time.Time) []prefillChoice {
	if w.promptReady {
		return []prefillChoice{{pin: w.pin}}
	}
	service, tokens := w.call.Service.Name, w.call.Model.PromptTokens
	versions := s.gateway.Fleet.Snapshot().SoftwareVersions(service)
	if w.pin.set || len(versions) < 2 {
		return []prefillChoice{s.selectPrefillEngine(service, tokens, w.pin, now)}
	}
	var choices []prefillChoice
	for _, version := range versions {
		choices = append(choices, s.selectPrefillEngine(service, tokens, versionPin{version: version, set: true}, now))
	}
	slices.SortStableFunc(choices, func(a, b prefillChoice) int {
		return cmp.Or(s.compareGoOn(w, a, b), compareEngines(a, b), cmp.Compare(a.wait+a.prompt, b.wait+b.prompt))
	})
	return choices
}

// compareGoOn puts versions first at which the stream of the request could go on.
func (s *scheduler) compareGoOn(w *waitingRequest, a, b prefillChoice) int {
	if !w.call.Route.Resumable {
		return 0
	}
	return boolOrder(s.lacksGoOn(w, a.pin), s.lacksGoOn(w, b.pin))
}

func (s *scheduler) lacksGoOn(w *waitingRequest, pin versionPin) bool {
	n := 0
	for _, u := range s.gateway.Fleet.Snapshot().Service(w.call.Service.Name) {
		if u.Usable() && u.Instance().Role == fleet.RoleDecode && pin.allows(u.Instance()) {
			n++
		}
	}
	return n < minGoOnEngines
}

// compareEngines puts choices with a prefill engine first.
func compareEngines(a, b prefillChoice) int { return boolOrder(a.engine == nil, b.engine == nil) }

// boolOrder orders false before true.
func boolOrder(a, b bool) int {
	switch {
	case a == b:
		return 0
	case b:
		return -1
	default:
		return 1
	}
}
