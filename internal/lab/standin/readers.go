package standin

import "time"

// readerSet counts readers: each open watch is one, and so is each client
// that has read within the window and has no watch open.
type readerSet struct {
	limit   int
	window  time.Duration
	watches map[string]int
	open    int
	recent  map[string]time.Duration
	highest int
}

func newReaderSet(limit int, window time.Duration) readerSet {
	return readerSet{
		limit:   limit,
		window:  window,
		watches: map[string]int{},
		recent:  map[string]time.Duration{},
	}
}

// count returns the readers at a time and forgets those outside the window.
func (r *readerSet) count(now time.Duration) int {
	total := r.open
	for client, at := range r.recent {
		if now-at >= r.window {
			delete(r.recent, client)
			continue
		}
		if r.watches[client] == 0 {
			total++
		}
	}
	return total
}

// admitRead counts a read of the client, or refuses it.
func (r *readerSet) admitRead(now time.Duration, client string) bool {
	total := r.count(now)
	_, known := r.recent[client]
	if !known && r.watches[client] == 0 {
		total++
		if r.limit > 0 && total > r.limit {
			return false
		}
	}
	r.recent[client] = now
	r.highest = max(r.highest, total)
	return true
}

// admitWatch counts a new watch of the client, or refuses it.
func (r *readerSet) admitWatch(now time.Duration, client string) bool {
	total := r.count(now) + 1
	if _, known := r.recent[client]; known && r.watches[client] == 0 {
		total--
	}
	if r.limit > 0 && total > r.limit {
		return false
	}
	r.watches[client]++
	r.open++
	r.highest = max(r.highest, total)
	return true
}

// endWatch forgets one watch of the client, which counts as a recent reader
// from now on.
func (r *readerSet) endWatch(now time.Duration, client string) {
	if r.watches[client] == 0 {
		return
	}
	r.watches[client]--
	r.open--
	if r.watches[client] == 0 {
		delete(r.watches, client)
	}
	r.recent[client] = now
}

// Readers returns how many readers there are at a time.
func (s *Store) Readers(now time.Duration) int { return s.readers.count(now) }

// HighestReaders returns the most readers that there were at any time.
func (s *Store) HighestReaders() int { return s.readers.highest }

// SetReaderLimit changes how many readers are admitted; 0 means no limit.
// Readers beyond a lowered limit stay until they leave.
func (s *Store) SetReaderLimit(limit int) { s.readers.limit = limit }

// OpenWatch counts a watch of the client; false means PlatformReadersFull.
func (s *Store) OpenWatch(now time.Duration, client string) bool {
	return s.readers.admitWatch(now, client)
}

// CloseWatch ends a watch that OpenWatch admitted.
func (s *Store) CloseWatch(now time.Duration, client string) {
	s.readers.endWatch(now, client)
}
