package proxy

import "sync"

// headChunkBytes is the size of the chunks that hold the text of incomplete heads.
const headChunkBytes = 4 << 10

// headChunk is a part of the text of a head.
type headChunk struct {
	bytes [headChunkBytes]byte
	used  int
}

// headChunks reuses chunks, since heads that arrive in parts may be many.
var headChunks = sync.Pool{New: func() any { return new(headChunk) }}

// headText is text that has been read from a connection and not passed on.
type headText struct {
	chunks []*headChunk
	// taken is the number of bytes that have been passed on of the first chunk.
	taken int
}

// isEmpty reports whether there is no text.
func (t *headText) isEmpty() bool { return len(t.chunks) == 0 }

// memory returns the memory of the text in bytes.
func (t *headText) memory() int64 { return int64(len(t.chunks)) * headChunkBytes }

// free returns the free part of the last chunk, after it has added one if that is full.
func (t *headText) free() []byte {
	if last := len(t.chunks) - 1; last >= 0 && t.chunks[last].used < headChunkBytes {
		return t.chunks[last].bytes[t.chunks[last].used:]
	}
	added := headChunks.Get().(*headChunk)
	added.used = 0
	t.chunks = append(t.chunks, added)
	return added.bytes[:]
}

// extend adds bytes that were read into the free part.
func (t *headText) extend(count int) { t.chunks[len(t.chunks)-1].used += count }

// add appends a copy of bytes.
func (t *headText) add(text []byte) {
	for len(text) > 0 {
		count := copy(t.free(), text)
		t.extend(count)
		text = text[count:]
	}
}

// take moves text to the buffer and returns the number of bytes.
func (t *headText) take(buffer []byte) (count int) {
	for len(t.chunks) > 0 && count < len(buffer) {
		first := t.chunks[0]
		moved := copy(buffer[count:], first.bytes[t.taken:first.used])
		count += moved
		t.taken += moved
		if t.taken < first.used {
			return count
		}
		headChunks.Put(first)
		t.chunks, t.taken = t.chunks[1:], 0
	}
	if len(t.chunks) == 0 {
		t.chunks = nil
	}
	return count
}

// drop discards the text.
func (t *headText) drop() {
	for _, chunk := range t.chunks {
		headChunks.Put(chunk)
	}
	t.chunks, t.taken = nil, 0
}
