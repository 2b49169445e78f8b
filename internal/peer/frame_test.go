package peer

import (
	"bytes"
	"errors"
	"io"
	"net"
	"slices"
	"testing"
	"time"

	"github.com/hashicorp/yamux"
)

// recordConn records the data of each write.
type recordConn struct {
	net.Conn
	writes [][]byte
}

func (c *recordConn) Write(b []byte) (int, error) {
	c.writes = append(c.writes, slices.Clone(b))
	return len(b), nil
}

func TestFramesKeepTheirBytes(t *testing.T) {
	dataHeader := []byte{0, frameTypeData, 0, 0, 0, 0, 0, 1, 0, 0, 0, frameHeaderBytes}
	updateHeader := []byte{0, 1, 0, 1, 0, 0, 0, 1, 0, 0, 0, 9}
	emptyHeader := []byte{0, frameTypeData, 0, 4, 0, 0, 0, 1, 0, 0, 0, 0}
	likeHeader := slices.Clone(dataHeader) // a body that looks like a header
	writes := [][]byte{updateHeader, dataHeader, likeHeader, emptyHeader, updateHeader, dataHeader, []byte("twelve bytes")}
	record := &recordConn{}
	conn := &frameConn{Conn: record}
	for _, b := range writes {
		if n, err := conn.Write(b); n != len(b) || err != nil {
			t.Errorf("Write returned %d, %v; want %d", n, err, len(b))
		}
	}
	if got, want := bytes.Join(record.writes, nil), bytes.Join(writes, nil); !bytes.Equal(got, want) {
		t.Errorf("bytes written are %v, want %v", got, want)
	}
}

// Guards against a second packet for each message on connections that are wrapped, as those of a server are.
func TestSmallFrameIsOneWrite(t *testing.T) {
	record := &recordConn{}
	conn := &frameConn{Conn: record}
	for _, b := range [][]byte{{0, frameTypeData, 0, 0, 0, 0, 0, 1, 0, 0, 0, 5}, []byte("hello")} {
		if _, err := conn.Write(b); err != nil {
			t.Fatal(err)
		}
	}
	if len(record.writes) != 1 {
		t.Errorf("%d writes, want 1", len(record.writes))
	}
}

// Guards against a session for whatever begins like a frame, and against refusing what a daemon begins with.
func TestFirstFrameTellsDaemonsFromStrangers(t *testing.T) {
	frame := func(version, kind byte) []byte { return []byte{version, kind, 0, 1, 0, 0, 0, 1, 0, 0, 0, 0} }
	for _, c := range []struct {
		name  string
		first []byte
		want  error
	}{
		{"stream", frame(frameVersion, 1), nil},
		{"ping", frame(frameVersion, 2), nil},
		{"data", frame(frameVersion, frameTypeData), errStranger},
		{"unknown type", frame(frameVersion, 4), errStranger},
		{"another version", frame(1, 1), errStranger},
	} {
		near, far := net.Pipe()
		defer near.Close()
		go func() { _, _ = far.Write(c.first) }()
		conn, err := awaitFirstFrame(near, time.Minute)
		if !errors.Is(err, c.want) {
			t.Errorf("%s: error %v, want %v", c.name, err, c.want)
		}
		if err != nil {
			continue
		}
		again := make([]byte, frameHeaderBytes)
		if _, err := io.ReadFull(conn, again); err != nil || !bytes.Equal(again, c.first) {
			t.Errorf("%s: read %v, %v again, want %v", c.name, again, err, c.first)
		}
	}
}

// Guards against a library that begins its sessions in another way, so that daemons would take each other for strangers.
func TestFirstFrameOfASessionIsADaemons(t *testing.T) {
	near, far := net.Pipe()
	mux, err := yamux.Client(&frameConn{Conn: far}, clientMuxConfig())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { near.Close(); mux.Close() })
	go func() { _, _ = mux.OpenStream() }()
	if _, err := awaitFirstFrame(near, time.Minute); err != nil {
		t.Error(err)
	}
}
