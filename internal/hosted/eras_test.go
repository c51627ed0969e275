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

// Answers without an era, or of an earlier one, move nothing; the first of them is logged.
func TestOnlyALaterEraIsNews(t *testing.T) {
	check := is.New(t)
	var lines bytes.Buffer
	clock := func() time.Duration { return time.Minute }
	held := &eraTracker{events: newEventLog(logging.NewTo(&lines, log.InfoLevel), "m", clock), clock: clock}
	var risen []uint64
	held.onRise = []func(uint64){func(era uint64) { risen = append(risen, era) }}
	unreadable := result.New(result.FileBadValue, "Store-Era")
	held.recordAnswer(0, unreadable)
	held.recordAnswer(0, unreadable)
	check.Equal(held.withEra(authority.Position{Revision: 7}), authority.Position{Revision: 7})
	held.recordAnswer(3, nil) // the first that is known
	check.Equal(len(risen), 0)
	held.recordAnswer(0, unreadable)
	check.Equal(held.withEra(authority.Position{Revision: 7}), authority.Position{Era: 3, Revision: 7})
	held.observe(4, "peer")
	held.recordAnswer(3, nil) // late
	held.observe(0, "peer that has heard of none")
	check.Equal(risen, []uint64{4})
	check.Equal(held.current(), uint64(4))
	check.True(held.hasEnded(authority.Position{Era: 3, Revision: 900}))
	check.Equal(held.unreadableCount(), uint64(3))
	check.Equal(strings.Count(lines.String(), "event=store_era_untold"), 1)
	check.Equal(strings.Count(lines.String(), "event=store_era_changed"), 1)
}
