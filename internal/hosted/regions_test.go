package hosted

import (
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/memory"
	"github.com/matryer/is"

	"github.com/springstack/springstack/internal/core/protocol"
	"github.com/springstack/springstack/internal/core/resource"
	"github.com/springstack/springstack/internal/core/snapshot"
)

// loggedRegions passes the versions to logUnknownRegions, with north as the only known region, and
// returns the regions that it logs.
func loggedRegions(versions ...*snapshot.Snapshot) []string {
	logHandler := memory.New()
	events := newEventLog(&log.Logger{Handler: logHandler, Level: log.DebugLevel}, "n", func() time.Duration { return 0 })
	var check regionCheck
	for _, version := range versions {
		check.logUnknownRegions(version, []string{"north"}, events)
	}
	var regions []string
	for _, entry := range logHandler.Entries {
		regions = append(regions, entry.Fields.Get("region").(string))
	}
	return regions
}

func snapshotAllowing(version protocol.Version, regions ...string) *snapshot.Snapshot {
	return &snapshot.Snapshot{Version: version, Routes: []resource.Route{{Name: "route", AllowedRegions: regions}}}
}

func TestUnknownRegionIsLoggedOncePerVersion(t *testing.T) {
	check := is.New(t)
	check.Equal(loggedRegions(snapshotAllowing(1, "north", "nroth"), snapshotAllowing(1, "north", "nroth")), []string{"nroth"})
	check.Equal(loggedRegions(snapshotAllowing(1, "nroth"), snapshotAllowing(2, "nroth")), []string{"nroth", "nroth"})
}

func TestKnownRegionsAreNotLogged(t *testing.T) {
	check := is.New(t)
	check.Equal(len(loggedRegions(nil, snapshotAllowing(1), snapshotAllowing(2, "north"))), 0)
}
