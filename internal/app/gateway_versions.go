package app

import (
	"encoding/json"
	"strings"

	"github.com/charmbracelet/log"

	"github.com/fescueslip/fescueslip/internal/fleet"
	"github.com/fescueslip/fescueslip/internal/mirror"
	"github.com/fescueslip/fescueslip/internal/revision"
	"github.com/fescueslip/fescueslip/internal/roles"
)

// storedVersions tells which of two values of a key in the store is newer by what the
// values say. A restored store shows older values, under revisions that do not tell.
type storedVersions struct {
	adapter Adapter
}

// of returns the version that the value of a key names itself. It implements
// mirror.Options.VersionOf.
func (s storedVersions) of(key string, value []byte) (mirror.Version, bool) {
	switch {
	case key == s.adapter.ConfigurationKey:
		table, err := s.adapter.ReadConfiguration(value)
		if err != nil {
			return mirror.Version{}, false
		}
		return mirror.Version{table.Version}, true
	case strings.HasPrefix(key, s.adapter.InstancesPrefix):
		instance, err := s.adapter.ReadInstance(key, value)
		if err != nil {
			return mirror.Version{}, false
		}
		return instanceVersion(instance), true
	case key == roles.PlanKey:
		var plan roles.Plan
		if err := json.Unmarshal(value, &plan); err != nil || plan.Fence == 0 {
			return mirror.Version{}, false
		}
		return mirror.Version{plan.Fence, plan.Number}, true
	default:
		return mirror.Version{}, false
	}
}

// instanceVersion orders the descriptions of an instance. One that is leaving does not come
// back, so it counts as later if nothing else tells.
func instanceVersion(i fleet.Instance) mirror.Version {
	leaving := uint64(0)
	if i.Leaving {
		leaving = 1
	}
	return mirror.Version{uint64(max(0, i.Incarnation)), i.Heartbeats, leaving}
}

// keep reports whether the entry of a key outlasts a restoration that undid it. It
// implements mirror.Options.Keep.
func (s storedVersions) keep(key string) bool {
	return key == s.adapter.ConfigurationKey || strings.HasPrefix(key, suspensionsPrefix)
}

// logKept returns a function that logs entries that are kept although the restored store
// shows another value. It implements mirror.Options.OnKept.
func logKept(logger *log.Logger) func(mirror.Item, revision.Revision) {
	return func(kept mirror.Item, shown revision.Revision) {
		logger.Info("entry kept: the restored store shows an older value", "key", kept.Key, "store_revision", kept.Revision, "shown_revision", shown)
	}
}
