package hosted

import (
	"bytes"
	"strings"
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/matryer/is"

	"github.com/springstack/springstack/internal/authority"
	"github.com/springstack/springstack/internal/logging"
	"github.com/springstack/springstack/internal/result"
)

// Answers without a readable era, or with an earlier one, do not change the known era. Only the first
// answer without a readable era is logged.
func TestOnlyALaterEraCountsAsRise(t *testing.T) {
	check := is.New(t)
	var lines bytes.Buffer
	clock := func() time.Duration { return time.Minute }
	tracker := &eraTracker{events: newEventLog(logging.NewTo(&lines, log.InfoLevel), "m", clock), clock: clock}
	var risen []uint64
	tracker.onRise = []func(uint64){func(era uint64) { risen = append(risen, era) }}
	unreadable := result.New(result.FileBadValue, "Store-Era")
	tracker.recordAnswer(0, unreadable)
	tracker.recordAnswer(0, unreadable)
	check.Equal(tracker.withEra(authority.Position{Revision: 7}), authority.Position{Revision: 7})
	tracker.recordAnswer(3, nil) // the first known era does not count as a rise
	check.Equal(len(risen), 0)
	tracker.recordAnswer(0, unreadable)
	check.Equal(tracker.withEra(authority.Position{Revision: 7}), authority.Position{Era: 3, Revision: 7})
	tracker.observe(4, "peer")
	tracker.recordAnswer(3, nil) // an answer of the earlier era that arrives late
	tracker.observe(0, "peer that knows no era")
	check.Equal(risen, []uint64{4})
	check.Equal(tracker.current(), uint64(4))
	check.True(tracker.hasEnded(authority.Position{Era: 3, Revision: 900}))
	check.Equal(tracker.unreadableCount(), uint64(3))
	check.Equal(strings.Count(lines.String(), "event=store_era_untold"), 1)
	check.Equal(strings.Count(lines.String(), "event=store_era_changed"), 1)
}
