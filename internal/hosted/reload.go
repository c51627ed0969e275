package hosted

import (
	"github.com/springstack/springstack/internal/settings"
)

// Reload logs the result of reading the settings again. A running daemon cannot change its
// settings: changed ones take effect at the next start, and invalid ones have no effect.
func (d *Daemon) Reload(loaded settings.Hosted, err error) {
	switch {
	case err != nil:
		d.events.event("settings_refused", field("error", err.Error()))
	case loaded == d.settings:
		d.events.event("settings_unchanged")
	default:
		d.events.event("settings_changed")
	}
}
