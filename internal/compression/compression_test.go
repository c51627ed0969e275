package compression

import (
	"bytes"
	"testing"

	"github.com/matryer/is"
)

func TestWhatIsPackedComesBackWholeAndBounded(t *testing.T) {
	check := is.New(t)
	payload := bytes.Repeat([]byte("routes and services "), 4096)
	packed := Append([]byte("before"), payload)
	check.Equal(string(packed[:6]), "before")
	packed = packed[6:]
	check.True(len(packed) < len(payload)/10)
	unpacked, err := Unpack(packed, len(payload))
	check.NoErr(err)
	check.Equal(unpacked, payload)
	_, err = Unpack(packed, len(payload)-1)
	check.True(err != nil) // more than it may hold
	_, err = Unpack(packed[:len(packed)/2], len(payload))
	check.True(err != nil)
	short, err := Unpack(Append(nil, []byte("short")), 5)
	check.NoErr(err)
	check.Equal(string(short), "short")
	_, err = Unpack([]byte("no frame"), len(payload))
	check.True(err != nil)
}
