package hosted

import (
	"github.com/springstack/springstack/internal/settings"
)

// Reload takes the settings as they were read again. What a running daemon
// holds can't be changed: other settings are in force after the next start, and
// mistakes leave everything as it is.
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
