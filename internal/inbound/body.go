package inbound

import (
	"errors"
	"io"
	"net/http"
	"time"
)

// minBodyBuffer is the first size of a body's buffer.
const minBodyBuffer = 2 << 10

// Body is a request's body. Bytes must not be used after Release.
type Body struct {
	Bytes []byte

	limits       *Limits
	conn         *conn
	small, large int64
}

// Release gives back what the body has taken. It may be called more than once.
func (b *Body) Release() {
	if b == nil {
		return
	}
	b.limits.refund(b.conn, b.small, b.large)
	b.Bytes, b.small, b.large = nil, 0, 0
}

// hold charges for a buffer of n bytes in place of what the body holds now.
func (b *Body) hold(n int64) error {
	small := min(n, SmallBytes)
	large := n - small
	moreSmall, moreLarge := small-b.small, large-b.large
	if moreSmall > 0 || moreLarge > 0 {
		if err := b.limits.charge(b.conn, max(0, moreSmall), max(0, moreLarge)); err != nil {
			return err
		}
	}
	if moreSmall < 0 || moreLarge < 0 {
		b.limits.refund(b.conn, max(0, -moreSmall), max(0, -moreLarge))
	}
	b.small, b.large = small, large
	return nil
}

// ReadBody reads a request's body of up to limit bytes. The caller must release it. The errors ErrNoRoom and ErrTooLarge mean that the
// request must be refused, and that its connection closes with the answer; others, that the body can't be read.
func (l *Limits) ReadBody(w http.ResponseWriter, r *http.Request, limit int64) (*Body, error) {
	c, _ := r.Context().Value(connKey{}).(*conn)
	if r.ContentLength > limit {
		l.refuseBody(w, c, reasonBodyTooLarge)
		return nil, ErrTooLarge
	}
	b := &Body{limits: l, conn: c}
	if r.ContentLength == 0 || r.Body == nil {
		return b, nil
	}
	if !c.beginBody() {
		return nil, ErrNoRoom
	}
	err := b.read(r, limit)
	if stays := c.endBody(); err == nil && !stays {
		err = ErrNoRoom // the connection was closed for others, so nobody would learn what became of the request
	}
	if err == nil {
		if c != nil {
			c.bodyRead.Store(true)
			if c.beyond.Load() <= r.ContentLength {
				c.aheadLines.Store(0) // what was read belongs to this body
			}
		}
		return b, nil
	}
	b.Release()
	switch {
	case errors.Is(err, ErrTooLarge):
		l.refuseBody(w, c, reasonBodyTooLarge)
	case errors.Is(err, ErrNoRoom):
		l.refuseBody(w, c, reasonNoRoom)
	default:
		l.SkipBody(w, r)
	}
	return nil, err
}

// read reads into a buffer that grows with what has arrived, whatever length was announced.
func (b *Body) read(r *http.Request, limit int64) error {
	most := limit + 1 // one more byte tells a body that is too long
	if r.ContentLength > 0 {
		most = r.ContentLength + 1
	}
	size := min(most, minBodyBuffer)
	if err := b.hold(size); err != nil {
		return err
	}
	buffer := make([]byte, 0, size)
	for {
		n, err := r.Body.Read(buffer[len(buffer):cap(buffer)])
		buffer = buffer[:len(buffer)+n]
		if int64(len(buffer)) > limit {
			return ErrTooLarge
		}
		if err == io.EOF {
			b.Bytes = buffer
			return nil
		}
		if err != nil {
			return err
		}
		if len(buffer) < cap(buffer) {
			continue
		}
		size := min(most, int64(2*cap(buffer)))
		if err := b.hold(int64(cap(buffer)) + size); err != nil {
			return err
		}
		buffer = append(make([]byte, 0, size), buffer...)
		if err := b.hold(size); err != nil {
			return err
		}
	}
}

// beginBody notes that the connection's body is being read. It reports false if the connection has been closed.
func (c *conn) beginBody() bool {
	if c == nil {
		return true
	}
	c.limits.mu.Lock()
	defer c.limits.mu.Unlock()
	c.phase = phaseBody
	return !c.gone
}

// endBody notes that the connection's body is no longer being read. It reports false if the connection has been closed.
func (c *conn) endBody() bool {
	if c == nil {
		return true
	}
	c.limits.mu.Lock()
	defer c.limits.mu.Unlock()
	c.phase = phaseHandling
	return !c.gone
}

// refuseBody lets the answer close the connection, so that package net/http doesn't wait for the rest of the body before it.
func (l *Limits) refuseBody(w http.ResponseWriter, c *conn, reason string) {
	role := Callers
	if c != nil {
		role = c.role
	}
	l.count(role.String(), reason)
	closeWithAnswer(w)
}

func closeWithAnswer(w http.ResponseWriter) {
	w.Header().Set("Connection", "close")
	// Without support for deadlines, as in tests, nothing waits for the rest either.
	_ = http.NewResponseController(w).SetReadDeadline(time.Now().Add(refusalTimeout))
}

// SkipBody is called before an answer to a request whose body has not been read. A small one is read and dropped if it is there within
// moments, so that the connection can be used again; a larger one isn't waited for.
func (l *Limits) SkipBody(w http.ResponseWriter, r *http.Request) {
	switch {
	case r.ContentLength == 0:
	case r.ContentLength > 0 && r.ContentLength <= SmallBytes:
		// As in closeWithAnswer. Package net/http sets another deadline before the next request.
		_ = http.NewResponseController(w).SetReadDeadline(time.Now().Add(refusalTimeout))
	default:
		closeWithAnswer(w)
	}
}

// MaxBody returns the size of the largest body that can be read and decoded while nothing else is held: half of the part of the budget for
// large bodies, since the decoded form takes up to the other half.
func (l *Limits) MaxBody() int64 { return l.maxLarge() / 2 }
