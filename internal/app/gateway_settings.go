package app

import (
	"context"
	"os"
	"time"

	"github.com/charmbracelet/log"
	"go.uber.org/fx"

	"github.com/fescueslip/fescueslip/internal/settings"
)

// watchSettings reads the settings file again when it has changed.
func watchSettings(p GatewayProcess, b *background, lc fx.Lifecycle) {
	lc.Append(fx.StartHook(func() {
		b.run("settings", func(ctx context.Context) error {
			w := settingsWatcher{path: p.SettingsPath, log: p.Logger}
			w.run(ctx, p.Reload)
			return nil
		})
	}))
}

// settingsInterval is how often the settings file is looked at without a signal.
const settingsInterval = 2 * time.Second

// settingsWatcher applies what may change while the process runs.
type settingsWatcher struct {
	path     string
	log      *log.Logger
	modified time.Time
}

func (w *settingsWatcher) run(ctx context.Context, reload <-chan os.Signal) {
	w.changed()
	tick := time.NewTicker(settingsInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-reload:
			w.changed()
			w.reload("signal")
		case <-tick.C:
			if w.changed() {
				w.reload("file changed")
			}
		}
	}
}

func (w *settingsWatcher) changed() bool {
	info, err := os.Stat(w.path)
	if err != nil || info.ModTime().Equal(w.modified) {
		return false
	}
	w.modified = info.ModTime()
	return true
}

func (w *settingsWatcher) reload(why string) {
	s, err := settings.LoadGateway(w.path)
	if err != nil {
		w.log.Error("settings not reloaded; the old ones stay in force", "reason", why, "err", err)
		return
	}
	if level, err := log.ParseLevel(s.Log.Level); err == nil {
		w.log.SetLevel(level)
	}
	w.log.Info("settings reloaded", "reason", why, "log_level", s.Log.Level)
}
