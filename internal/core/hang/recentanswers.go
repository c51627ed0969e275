package hang

import (
	"sync/atomic"
	"time"
)

// keptAnswers is the number of answers kept. It exceeds minOvertaken because some of the latest
// answers may be to calls that were sent before the call in question.
const keptAnswers = 16

// RecentAnswers records the send times of the most recently answered calls. It is safe for
// concurrent use and takes no lock. The zero value is empty.
type RecentAnswers struct {
	count  atomic.Uint64
	sentAt [keptAnswers]atomic.Int64
}

// Record records the answer to a call that was sent at the given time, which must be above 0.
func (a *RecentAnswers) Record(sentAt time.Duration) {
	index := a.count.Add(1) % keptAnswers
	a.sentAt[index].Store(int64(sentAt))
}

// CountSentAfter returns how many of the recently answered calls were sent after the given time.
func (a *RecentAnswers) CountSentAfter(sentAt time.Duration) int {
	count := 0
	for index := range a.sentAt {
		if a.sentAt[index].Load() > int64(sentAt) {
			count++
		}
	}
	return count
}
