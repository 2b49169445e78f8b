package peer

import (
	"bytes"
	"encoding/binary"
	"io"
	"net"
	"testing"
	"testing/synctest"
	"time"
)

// dataFrame returns a data frame with a body of n bytes.
func dataFrame(n int) []byte {
	frame := make([]byte, frameHeaderBytes+n)
	binary.BigEndian.PutUint32(frame[frameLengthOffset:], uint32(n))
	return frame
}

// Guards against a session that takes in what its streams can't keep up with, 256 KB for each: the load is 60 daemons that each relay 64
// jobs of 64 KB at once.
func TestSessionReadsNoFurtherThanItsStreams(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		near, far := net.Pipe()
		defer near.Close()
		frames := bytes.Repeat(dataFrame(64<<10), 3)
		go func() { _, _ = far.Write(frames) }()
		conn := newInflowConn(near)
		readFrame := func() time.Duration {
			start := time.Now()
			if _, err := io.ReadFull(conn, make([]byte, len(frames)/3)); err != nil {
				t.Fatal(err)
			}
			return time.Since(start)
		}
		if took := readFrame(); took != 0 {
			t.Errorf("the first frame took %v", took)
		}
		go func() {
			time.Sleep(unreadPatience / 4)
			conn.consumed(64 << 10)
		}()
		if took := readFrame(); took != unreadPatience/4 {
			t.Errorf("the second frame took %v, want until the first one was read, %v", took, unreadPatience/4)
		}
		if took := readFrame(); took != unreadPatience {
			t.Errorf("the third frame took %v, want %v since nobody reads the second one", took, unreadPatience)
		}
	})
}

// Guards against a session that stops in the middle of a frame, which yamux passes on as a whole, or loses its place among the frames.
func TestFramesAreFollowedHoweverTheyArrive(t *testing.T) {
	var frames []byte
	bodies := 0
	for _, n := range []int{0, 1, 12, 5000, 0, 70_000} {
		frames = append(frames, dataFrame(n)...)
		frames = append(frames, frameVersion, 1, 0, 0, 0, 0, 0, 1, 0, 4, 0, 0) // a window update, whose length is no body
		bodies += n
	}
	for _, size := range []int{1, 7, frameHeaderBytes, 4096, len(frames)} {
		var s frameScanner
		got := 0
		for rest := frames; len(rest) > 0; {
			n := min(size, len(rest))
			got += s.add(rest[:n])
			rest = rest[n:]
		}
		if got != bodies || !s.between() {
			t.Errorf("in pieces of %d: %d bytes of bodies, want %d; between frames: %v", size, got, bodies, s.between())
		}
	}
}

// Guards against small frames that get past the bound since reads end within them.
func TestSmallFramesAreHeldBackToo(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const bodyBytes, frames, readBytes = 101, 3000, 4096
		near, far := net.Pipe()
		defer near.Close()
		go func() {
			_, _ = far.Write(bytes.Repeat(dataFrame(bodyBytes), frames))
			far.Close()
		}()
		conn := newInflowConn(near)
		start := time.Now()
		if _, err := io.CopyBuffer(struct{ io.Writer }{io.Discard}, struct{ io.Reader }{conn}, make([]byte, readBytes)); err != nil {
			t.Fatal(err)
		}
		if took, least := time.Since(start), bodyBytes*frames/(2*maxUnreadBytes)*unreadPatience; took < least {
			t.Errorf("nobody reads the streams, and the frames took %v, want at least %v", took, least)
		}
	})
}
