package peer

import (
	"bytes"
	"net"
	"slices"
	"testing"
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
