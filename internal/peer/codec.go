package peer

import (
	"bufio"
	"bytes"
	"errors"
	"io"

	"google.golang.org/protobuf/encoding/protodelim"
	"google.golang.org/protobuf/proto"
)

// readBufferBytes is enough for a small message; larger ones are read past the buffer.
const readBufferBytes = 512

// encode returns msg with its length prefix. Errors: ErrTooLarge.
func encode(msg proto.Message) ([]byte, error) {
	if proto.Size(msg) > MaxMessageBytes {
		return nil, ErrTooLarge
	}
	var buf bytes.Buffer
	if _, err := protodelim.MarshalTo(&buf, msg); err != nil {
		return nil, err
	}
	return buf.Bytes(), nil
}

// decode reads one length-prefixed message from r.
// Errors: ErrTooLarge; io.ErrUnexpectedEOF if the message is truncated.
func decode(r *bufio.Reader, msg proto.Message) error {
	opts := protodelim.UnmarshalOptions{MaxSize: MaxMessageBytes}
	err := opts.UnmarshalFrom(r, msg)
	var tooLarge *protodelim.SizeTooLargeError
	if errors.As(err, &tooLarge) {
		return ErrTooLarge
	}
	if errors.Is(err, io.EOF) {
		return io.ErrUnexpectedEOF
	}
	return err
}

func newReader(r io.Reader) *bufio.Reader {
	return bufio.NewReaderSize(r, readBufferBytes)
}
