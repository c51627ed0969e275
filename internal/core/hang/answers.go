package hang

import (
	"sync/atomic"
	"time"
)

// answersKept is how many answers are remembered: overtakenNeeded, and some more for those
// to calls that were sent earlier.
const answersKept = 16

// Answers remembers when the calls were sent that were answered last. It may be used from
// several goroutines and takes no lock. The zero value has none.
type RecentAnswers struct {
	count  atomic.Uint64
	sentAt [answersKept]atomic.Int64
}

// Note takes the answer to a call that was sent at a time above 0.
func (a *RecentAnswers) Record(sentAt time.Duration) {
	at := a.count.Add(1) % answersKept
	a.sentAt[at].Store(int64(sentAt))
}

// Since is how many of the calls answered last were sent after a time.
func (a *RecentAnswers) CountSentAfter(sentAt time.Duration) int {
	count := 0
	for index := range a.sentAt {
		if a.sentAt[index].Load() > int64(sentAt) {
			count++
		}
	}
	return count
}
