package bufferer

import "io"

// Stream reads the content of a body from its start.
type Stream struct {
	body   *Body
	offset int
	// owned is set if the stream releases the body when it is closed.
	owned bool
}

// NewStream returns a stream that reads the body and leaves it to its owner.
func (b *Body) NewStream() *Stream { return &Stream{body: b} }

// OwnStream returns a stream that becomes the owner of the body and releases it when it is
// closed.
func (b *Body) OwnStream() *Stream { return &Stream{body: b, owned: true} }

// Body returns the body that the stream reads.
func (s *Stream) Body() *Body { return s.body }

// Read implements io.Reader.
func (s *Stream) Read(p []byte) (int, error) {
	if s.offset >= s.body.size {
		return 0, io.EOF
	}
	i, within := position(s.offset)
	n := copy(p, s.body.blocks[i][within:min(len(s.body.blocks[i]), within+s.body.size-s.offset)])
	s.offset += n
	return n, nil
}

// WriteTo implements io.WriterTo.
func (s *Stream) WriteTo(w io.Writer) (int64, error) {
	if s.offset == 0 {
		n, err := s.body.WriteTo(w)
		s.offset += int(n)
		return n, err
	}
	return io.Copy(w, struct{ io.Reader }{s})
}

// Close implements io.Closer.
func (s *Stream) Close() error {
	if s.owned {
		s.body.Release()
	}
	return nil
}
