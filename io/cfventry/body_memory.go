package cfventry

import (
	"errors"
	"io"
	"net/http"
	"sync"

	"coltsfootvalve/core/cfvlimit"
)

// Sizes of the pieces in which bodies are kept. A body isn't copied when it grows.
const (
	firstPieceBytes = 4 << 10
	pieceBytes      = 64 << 10
)

// errNoRoom means that the entry has no memory for a body.
var errNoRoom = errors.New("no memory for the body")

// bodyBuffer is the body of a request or of a response in pieces. Its bytes are reserved in a budget until it is released and
// nobody reads it. A nil bodyBuffer is empty.
type bodyBuffer struct {
	budget *cfvlimit.ByteBudget
	size   int64

	mu       sync.Mutex
	pieces   [][]byte
	reserved int64
	readers  int
	released bool
}

// reserve reserves n more bytes. It reports whether there was room.
func (b *bodyBuffer) reserve(n int64) bool {
	if !b.budget.Reserve(b.reserved, n) {
		return false
	}
	b.reserved += n
	return true
}

// read reads the whole body. What is reserved already is the announced length; more is reserved piece by piece.
func (b *bodyBuffer) read(r io.Reader) error {
	announced := b.reserved
	for {
		n := int64(pieceBytes)
		switch {
		case announced > 0:
			n = min(n, max(announced-b.size, 1)) // the last read returns only the end of the body
		case b.size == 0:
			n = firstPieceBytes
		}
		if announced == 0 && !b.reserve(n) {
			return errNoRoom
		}
		piece := make([]byte, n)
		filled, err := fill(r, piece)
		b.pieces = append(b.pieces, piece[:filled])
		b.size += int64(filled)
		switch {
		case errors.Is(err, io.EOF):
			return nil
		case err != nil:
			return err
		}
	}
}

// readResponse reads a response of up to maxBufferedResponse bytes, or the start of a longer one. It returns errNoRoom if
// there is no memory for the rest.
func (b *bodyBuffer) readResponse(resp *http.Response) error {
	if n := resp.ContentLength; n > 0 && n <= maxBufferedResponse && !b.reserve(n) {
		return errNoRoom
	}
	return b.read(io.LimitReader(resp.Body, maxBufferedResponse+1))
}

// fill reads until p is full or the reader returns an error. Unlike io.ReadFull it tells the end of a body from one that was
// cut off.
func fill(r io.Reader, p []byte) (n int, err error) {
	for n < len(p) && err == nil {
		var m int
		m, err = r.Read(p[n:])
		n += m
	}
	return n, err
}

// length returns the number of bytes.
func (b *bodyBuffer) length() int64 {
	if b == nil {
		return 0
	}
	return b.size
}

// writeTo writes the body, which must not be released.
func (b *bodyBuffer) writeTo(w io.Writer) error {
	if b == nil {
		return nil
	}
	for _, p := range b.pieces {
		if _, err := w.Write(p); err != nil {
			return err
		}
	}
	return nil
}

// open returns a reader of the body for one attempt.
func (b *bodyBuffer) open() io.ReadCloser {
	if b == nil {
		return &bodyReader{}
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.readers++
	return &bodyReader{body: b, rest: b.pieces}
}

// release gives the bytes up once no attempt reads them. There must be no further attempt.
func (b *bodyBuffer) release() {
	if b == nil {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.released = true
	b.free()
}

// free returns the bytes to the budget if they aren't needed any more. The caller must hold b.mu.
func (b *bodyBuffer) free() {
	if b.released && b.readers == 0 {
		b.budget.Release(b.reserved)
		b.reserved, b.pieces = 0, nil
	}
}

// bodyReader reads a body for one attempt. The HTTP transport may close it while it reads.
type bodyReader struct {
	mu   sync.Mutex
	body *bodyBuffer // nil: closed
	rest [][]byte
	at   int // in the first piece
}

// Read reads from the body.
func (r *bodyReader) Read(p []byte) (n int, err error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for len(r.rest) > 0 {
		n = copy(p, r.rest[0][r.at:])
		if r.at += n; r.at == len(r.rest[0]) {
			r.rest, r.at = r.rest[1:], 0
		}
		if n > 0 || len(p) == 0 {
			return n, nil
		}
	}
	return 0, io.EOF
}

// Close ends the use of the body by the attempt.
func (r *bodyReader) Close() error {
	r.mu.Lock()
	defer r.mu.Unlock()
	if b := r.body; b != nil {
		r.body, r.rest = nil, nil
		b.mu.Lock()
		defer b.mu.Unlock()
		b.readers--
		b.free()
	}
	return nil
}
