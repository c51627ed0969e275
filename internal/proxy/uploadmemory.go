package proxy

import "time"

// evict makes reading the body fail, so that its call ends. It may be called while another goroutine
// reads.
func (u *upload) evict() {
	u.evicted.Store(true)
	_ = u.control.SetReadDeadline(time.Now()) // fails on a closed connection, and then reading fails
}

// isEvicted reports whether the body had to give way to others.
func (u *upload) isEvicted() bool { return u != nil && u.evicted.Load() }

// recordProgress records that a part of the body has arrived.
func (u *upload) recordProgress() { u.progressAt.Store(int64(time.Since(phaseOrigin))) }

// stalledFor returns how long no part of the body has arrived.
func (u *upload) stalledFor() time.Duration {
	return time.Since(phaseOrigin) - time.Duration(u.progressAt.Load())
}

// readKept reads the next bytes from the source directly into those that are kept, and returns their
// number. The lock is held, and fewer than keepLimit bytes are kept.
func (u *upload) readKept() int {
	kept := len(u.keptBytes)
	if kept == cap(u.keptBytes) && !u.growKept(kept+1) {
		u.readErr = errBodyEvicted
		return 0
	}
	count, _ := u.readSource(u.keptBytes[kept:min(cap(u.keptBytes), u.keepLimit)]) // stores the error
	u.keptBytes = u.keptBytes[:kept+count]
	published := u.keptBytes
	u.published.Store(&published)
	return count
}

// growKept makes room for the given number of kept bytes, at least doubling the capacity within
// keepLimit and the declared length. It returns false if the memory is not available. The memory of
// a short body is always available: the number of connections limits it. The lock is held.
func (u *upload) growKept(needed int) bool {
	capacity := min(max(2*cap(u.keptBytes), minKeptCapacity), u.keepLimit)
	if u.declaredLength > 0 {
		capacity = int(min(int64(capacity), u.declaredLength))
	}
	capacity = max(capacity, needed)
	if !u.reserveMemory(capacity) && capacity > minLargeBodyBytes {
		return false
	}
	grown := make([]byte, len(u.keptBytes), capacity)
	copy(grown, u.keptBytes)
	u.keptBytes = grown
	return true
}

// reserveMemory reserves memory for kept bytes. It returns false if that is not available.
func (u *upload) reserveMemory(capacity int) bool {
	if u.memory == nil {
		return true
	}
	if u.isHolder {
		return u.memory.resize(u, int64(capacity))
	}
	u.isHolder = true
	return u.memory.add(u, int64(capacity))
}

// keepMemory marks the body as one that has arrived and is not evicted any more. It returns an error
// if the body has been evicted. The lock is held.
func (u *upload) keepMemory() error {
	if u.memory != nil {
		u.memory.keep(u)
	}
	if u.evicted.Load() {
		u.readErr = errBodyEvicted
		return u.readErr
	}
	return nil
}

// dropKept drops the kept bytes. The lock is held.
func (u *upload) dropKept() {
	u.keptBytes = nil
	u.published.Store(nil)
	u.releaseMemory()
}

// releaseMemory returns the memory of the kept bytes.
func (u *upload) releaseMemory() {
	if u.memory != nil {
		u.memory.remove(u)
	}
}
