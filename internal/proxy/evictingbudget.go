package proxy

import (
	"container/list"
	"sync"
)

// evictable is what holds memory for a request that has not arrived completely.
type evictable interface {
	// evict ends the request. It must not block, and need not release the memory.
	evict()
}

// evictingBudget limits the memory that incomplete requests hold together. If the memory for a newer
// one is not available, the oldest ones are ended: an ordinary request is complete soon, so that the
// oldest ones are those of clients that send slowly or have stopped.
type evictingBudget struct {
	limit int64

	mutex sync.Mutex
	used  int64
	// holders are those that may be evicted, in order of their age.
	holders list.List // of *heldMemory
	held    map[evictable]*heldMemory
}

// heldMemory is the memory that one incomplete request holds.
type heldMemory struct {
	holder  evictable
	bytes   int64
	element *list.Element
}

func newEvictingBudget(limit int64) *evictingBudget {
	return &evictingBudget{limit: limit, held: map[evictable]*heldMemory{}}
}

// add adds a holder with its memory. It returns false if the memory is not available.
func (b *evictingBudget) add(holder evictable, bytes int64) bool {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	added := &heldMemory{holder: holder}
	added.element = b.holders.PushBack(added)
	b.held[holder] = added
	return b.resizeLocked(added, bytes)
}

// resize changes the memory of a holder. It returns false if the memory is not available, or if the
// holder has been evicted.
func (b *evictingBudget) resize(holder evictable, bytes int64) bool {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	memory := b.held[holder]
	return memory != nil && b.resizeLocked(memory, bytes)
}

func (b *evictingBudget) resizeLocked(memory *heldMemory, bytes int64) bool {
	b.used += bytes - memory.bytes
	memory.bytes = bytes
	for b.used > b.limit {
		if b.holders.Front() == memory.element || !b.evictOldestLocked() {
			b.removeLocked(memory)
			return false
		}
	}
	return true
}

// evictOldest evicts the oldest holder that may be evicted. It returns false if there is none.
func (b *evictingBudget) evictOldest() bool {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	return b.evictOldestLocked()
}

func (b *evictingBudget) evictOldestLocked() bool {
	oldest := b.holders.Front()
	if oldest == nil {
		return false
	}
	victim := oldest.Value.(*heldMemory)
	b.removeLocked(victim)
	victim.holder.evict()
	return true
}

// keep has a holder keep its memory: it is not evicted any more. It returns false if the holder has
// been evicted.
func (b *evictingBudget) keep(holder evictable) bool {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	memory := b.held[holder]
	if memory == nil {
		return false
	}
	b.unlistLocked(memory)
	return true
}

// remove removes a holder and releases its memory; it does nothing if the holder was evicted.
func (b *evictingBudget) remove(holder evictable) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	if memory := b.held[holder]; memory != nil {
		b.removeLocked(memory)
	}
}

func (b *evictingBudget) removeLocked(memory *heldMemory) {
	b.used -= memory.bytes
	delete(b.held, memory.holder)
	b.unlistLocked(memory)
}

func (b *evictingBudget) unlistLocked(memory *heldMemory) {
	if memory.element != nil {
		b.holders.Remove(memory.element)
		memory.element = nil
	}
}

// usedBytes returns the memory in use.
func (b *evictingBudget) usedBytes() int64 {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	return b.used
}
