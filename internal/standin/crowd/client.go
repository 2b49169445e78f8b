// Package crowd simulates clients that don't behave, for tests: they send large requests, or stop short of the end of one, and stay
// connected. It measures what the process that they call uses meanwhile.
package crowd

import (
	"bytes"
	"encoding/binary"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"strings"

	"github.com/hashicorp/yamux"
)

// Client sends to conn what its kind of client sends, calls sent, and returns once the connection is closed.
type Client func(conn net.Conn, sent func())

// writing returns a client that calls write and then only waits. Errors of write are those of a closed connection.
func writing(write func(w io.Writer)) Client {
	return func(conn net.Conn, sent func()) {
		write(conn)
		sent()
		_, _ = io.Copy(io.Discard, conn) // ends when either side closes the connection
	}
}

// inPieces writes data in pieces of the given length until an error.
func inPieces(w io.Writer, data []byte, length int) {
	for len(data) > 0 {
		n := min(length, len(data))
		if _, err := w.Write(data[:n]); err != nil {
			return
		}
		data = data[n:]
	}
}

// Body returns a client that sends a request with the body, all but its last missing bytes, in pieces. head is the request line and
// the header lines, each with its end.
func Body(head string, body []byte, missing, piece int) Client {
	text := fmt.Sprintf("%sContent-Length: %d\r\n\r\n", head, len(body))
	return writing(func(w io.Writer) {
		inPieces(w, append([]byte(text), body[:len(body)-missing]...), piece)
	})
}

// ChunkedBody returns a client that sends the body in one chunk of length first and then others of length chunk, all but its last missing
// bytes.
func ChunkedBody(head string, body []byte, missing, first, chunk int) Client {
	var data bytes.Buffer
	data.WriteString(head + "Transfer-Encoding: chunked\r\n\r\n")
	n := first
	for rest := body[:len(body)-missing]; len(rest) > 0; n = chunk {
		n = min(n, len(rest))
		fmt.Fprintf(&data, "%x\r\n%s\r\n", n, rest[:n])
		rest = rest[n:]
	}
	return writing(func(w io.Writer) { inPieces(w, data.Bytes(), data.Len()) })
}

// HeaderLines returns a client that sends different header lines of the given length, in all the given number of bytes, and never ends
// the head.
func HeaderLines(head string, line, total int) Client {
	data := []byte(head)
	for i := 0; len(data)+line <= total; i++ {
		text := fmt.Sprintf("x%x:", i)
		data = append(data, text+strings.Repeat("v", max(0, line-len(text)-2))+"\r\n"...)
	}
	return writing(func(w io.Writer) { inPieces(w, data, len(data)) })
}

// HeaderLine returns a client that sends one header line of the given length without its end.
func HeaderLine(head string, length int) Client {
	return writing(func(w io.Writer) {
		inPieces(w, []byte(head+"x: "+strings.Repeat("v", length)), length)
	})
}

// EmptyLines returns a client that sends that many empty lines and no request.
func EmptyLines(lines int) Client {
	return writing(func(w io.Writer) { inPieces(w, bytes.Repeat([]byte("\r\n"), lines), 1<<16) })
}

// Garbage returns a client that sends that many random bytes, the same each time.
func Garbage(seed uint64, length int) Client {
	data := make([]byte, length)
	rng := rand.New(rand.NewPCG(seed, 0))
	for i := range data {
		data[i] = byte(rng.Uint32())
	}
	return writing(func(w io.Writer) { inPieces(w, data, length) })
}

// Silent is a client that sends nothing.
var Silent = writing(func(io.Writer) {})

// Messages returns a client of the port between daemons. It opens that many streams and begins on each a message of the announced
// length, of which it sends the given part.
func Messages(streams, announced, part int) Client {
	message := append(binary.AppendUvarint(nil, uint64(announced)), make([]byte, part)...)
	return func(conn net.Conn, sent func()) {
		defer sent()
		config := yamux.DefaultConfig()
		config.LogOutput = io.Discard
		session, err := yamux.Client(conn, config)
		if err != nil {
			return
		}
		defer session.Close()
		for range streams {
			stream, err := session.OpenStream()
			if err != nil {
				return
			}
			inPieces(stream, message, len(message))
		}
		sent()
		<-session.CloseChan()
	}
}
