package plain

import (
	"net/http"
	"slices"
	"strings"
	"time"

	"github.com/fescueslip/fescueslip/internal/config"
	"github.com/fescueslip/fescueslip/internal/fault"
)

// defaultTimeout applies to routes that state none.
const defaultTimeout = 30 * time.Second

// matchRoute finds the route of a call. Among the routes with the longest
// matching prefix, the method decides, so that one path can have a repeatable
// GET route and a non-repeatable POST route.
func matchRoute(s *config.Snapshot, method, path string) (*config.Route, []string, *fault.Error) {
	if !canonicalPath(path) {
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

// canonicalPath refuses paths that a service could normalise into the path of
// another route: /orders/status/../book would pass a repeatable route and book.
func canonicalPath(path string) bool {
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
