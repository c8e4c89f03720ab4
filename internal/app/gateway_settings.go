package app

import (
	"context"
	"os"
	"time"

	"github.com/charmbracelet/log"
	"go.uber.org/fx"

	"github.com/fescueslip/fescueslip/internal/settings"
)

// watchSettings reloads the settings file when it changes.
func watchSettings(p GatewayProcess, b *background, lc fx.Lifecycle) {
	lc.Append(fx.StartHook(func() {
		b.run("settings", func(ctx context.Context) error {
			w := settingsWatcher{path: p.SettingsPath, log: p.Logger}
			w.run(ctx, p.Reload)
			return nil
		})
	}))
}

// settingsPollInterval is how often the settings file is checked for changes.
const settingsPollInterval = 2 * time.Second

// settingsWatcher applies the settings that may change while the process runs; that
// is only the log level.
type settingsWatcher struct {
	path     string
	log      *log.Logger
	modified time.Time
}

func (w *settingsWatcher) run(ctx context.Context, reload <-chan os.Signal) {
	w.checkModified()
	tick := time.NewTicker(settingsPollInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-reload:
			w.checkModified()
			w.reload("signal")
		case <-tick.C:
			if w.checkModified() {
				w.reload("file changed")
			}
		}
	}
}

// checkModified reports whether the modification time of the file has changed since
// the last call.
func (w *settingsWatcher) checkModified() bool {
	info, err := os.Stat(w.path)
	if err != nil || info.ModTime().Equal(w.modified) {
		return false
	}
	w.modified = info.ModTime()
	return true
}

// reload loads the settings file. Of the settings, only the log level takes effect. A
// file that cannot be loaded is ignored.
func (w *settingsWatcher) reload(reason string) {
	s, err := settings.LoadGateway(w.path)
	if err != nil {
		w.log.Error("settings file cannot be loaded; keeping the current settings", "reason", reason, "err", err)
		return
	}
	if level, err := log.ParseLevel(s.Log.Level); err == nil {
		w.log.SetLevel(level)
	}
	w.log.Info("settings reloaded", "reason", reason, "log_level", s.Log.Level)
}
