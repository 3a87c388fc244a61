package announcer

import (
	"bytes"
	"testing"
)

// TestUnpackCopies guards against unpacked messages that share memory with the
// buffer of the connection. It overwrites a message after unpacking, as the next
// response on the connection does, and checks that the result is unchanged.
func TestUnpackCopies(t *testing.T) {
	for _, size := range []int{10, smallMessage, 4 * smallMessage} {
		data, err := pack(string(bytes.Repeat([]byte("a"), size)))
		if err != nil {
			t.Fatal(err)
		}
		got, err := Packed(data).Unpack()
		if err != nil {
			t.Fatal(err)
		}
		for i := range data {
			data[i] = 'X'
		}
		if bytes.Contains(got, []byte("X")) {
			t.Errorf("message of %d bytes: got: overwritten by the next message want: unchanged", size)
		}
	}
}
