package announcer

import (
	"bytes"
	"testing"
)

// TestUnpackOwnsMemory changes a message's bytes after it was unpacked, as the
// next answer on the connection does: what was read must not change with it.
func TestUnpackOwnsMemory(t *testing.T) {
	for _, size := range []int{10, smallMessage, 4 * smallMessage} {
		data, err := pack(string(bytes.Repeat([]byte("a"), size)))
		if err != nil {
			t.Fatal(err)
		}
		got, err := unpack(data)
		if err != nil {
			t.Fatal(err)
		}
		for i := range data {
			data[i] = 'X'
		}
		if bytes.Contains(got, []byte("X")) {
			t.Errorf("message of %d: got: bytes of the next one want: its own", size)
		}
	}
}
