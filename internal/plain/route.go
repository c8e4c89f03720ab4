package plain

import (
	"net/http"
	"slices"
	"strings"
	"time"

	"github.com/fescueslip/fescueslip/internal/config"
	"github.com/fescueslip/fescueslip/internal/fault"
)

// defaultTimeout applies to routes without a configured timeout.
const defaultTimeout = 30 * time.Second

// matchRoute finds the route of a call. Among the routes with the longest matching
// prefix, the method selects one, so that a path can have a repeatable GET route
// and a non-repeatable POST route. When only the method does not match, it returns
// the allowed methods.
func matchRoute(s *config.Snapshot, method, path string) (*config.Route, []string, *fault.Error) {
	if !isCanonicalPath(path) {
		return nil, nil, fault.New(fault.KindMalformedRequest, "send the path without empty, . and .. segments",
			"the path is not in canonical form")
	}
	longest := -1
	var allowed []string
	for _, route := range s.Routes {
		if len(route.Prefix) < longest {
			break
		}
		if !strings.HasPrefix(path, route.Prefix) {
			continue
		}
		longest = len(route.Prefix)
		if len(route.Methods) == 0 || slices.Contains(route.Methods, method) {
			return route, nil, nil
		}
		allowed = append(allowed, route.Methods...)
	}
	if longest < 0 {
		return nil, nil, fault.New(fault.KindRouteNotFound, "check the path, or ask the operator for a route",
			"no route matches the path")
	}
	return nil, allowed, fault.New(fault.KindMethodNotAllowed, "use one of "+strings.Join(allowed, ", "),
		"the route does not take %s", method)
}

// isCanonicalPath rejects paths that a service could normalize to the path of
// another route. For example, /orders/status/../book would match a repeatable
// route and reach the booking endpoint.
func isCanonicalPath(path string) bool {
	if !strings.HasPrefix(path, "/") {
		return false
	}
	segments := strings.Split(path[1:], "/")
	for i, s := range segments {
		if s == "." || s == ".." || (s == "" && i < len(segments)-1) {
			return false
		}
	}
	return !strings.ContainsAny(path, "\\\x00")
}

func routeTimeout(route *config.Route) time.Duration {
	if route.Timeout > 0 {
		return route.Timeout
	}
	return defaultTimeout
}

func writeRouteFault(w http.ResponseWriter, f *fault.Error, allowed []string) {
	if len(allowed) > 0 {
		w.Header().Set("Allow", strings.Join(allowed, ", "))
	}
	f.Write(w)
}
