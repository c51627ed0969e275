package callclass

import "sync/atomic"

// Table holds one value per class. The first Get of a class creates its value, as the zero
// value of the type. Table is safe for concurrent use without locks and needs no constructor.
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
