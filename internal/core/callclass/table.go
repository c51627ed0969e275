package callclass

import "sync/atomic"

// Table holds one value per class. A value is created as the zero value at its first
// use. Table is safe for concurrent use without locks; the zero Table is empty.
type Table[Value any] struct {
	values [Count]atomic.Pointer[Value]
}

// Get returns the value of a class. A number that is not a class is reduced modulo Count.
func (t *Table[Value]) Get(class Class) *Value {
	slot := &t.values[class%Count]
	if value := slot.Load(); value != nil {
		return value
	}
	slot.CompareAndSwap(nil, new(Value))
	return slot.Load()
}
