package callclass

import "sync/atomic"

// Table keeps one value for each class that has come up, made empty when it is first
// asked for. It takes no lock. The zero table is empty.
type Table[Value any] struct {
	slots [Count]atomic.Pointer[Value]
}

// Of returns the value of a class. A number that is no class counts as another one.
func (t *Table[Value]) Get(class Class) *Value {
	slot := &t.slots[class%Count]
	if held := slot.Load(); held != nil {
		return held
	}
	slot.CompareAndSwap(nil, new(Value))
	return slot.Load()
}
