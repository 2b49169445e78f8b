package peer

import (
	"bufio"
	"bytes"
	"encoding/binary"
	"errors"
	"io"

	"google.golang.org/protobuf/encoding/protodelim"
	"google.golang.org/protobuf/proto"
)

// readBufferBytes is enough for a small message; larger ones are read past the buffer.
const readBufferBytes = 512

// firstReadBytes is the buffer for the first bytes of a message that is larger than the read buffer.
const firstReadBytes = 4 << 10

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
	size, err := readSize(r)
	if err != nil {
		return err
	}
	_, err = decodeBody(r, size, msg, func(int) error { return nil })
	return err
}

// readSize reads the length of the next message. Errors: ErrTooLarge; io.ErrUnexpectedEOF if it is truncated.
func readSize(r *bufio.Reader) (int, error) {
	size, err := binary.ReadUvarint(r)
	if err != nil {
		return 0, unexpected(err)
	}
	if size > MaxMessageBytes {
		return 0, ErrTooLarge
	}
	return int(size), nil
}

// decodeBody reads a message of the given size. grow is called with the number of bytes that are read next: a message that is
// announced takes no more than a multiple of what has arrived of it. unread is how much of the message is left if grow fails.
// Errors: io.ErrUnexpectedEOF if the message is truncated; those of grow.
func decodeBody(r *bufio.Reader, size int, msg proto.Message, grow func(n int) error) (unread int, err error) {
	if size > r.Size() {
		data, err := readGrowing(r, size, grow)
		if err != nil {
			return size - len(data), err
		}
		return 0, proto.Unmarshal(data, msg)
	}
	if err := grow(size); err != nil {
		return size, err
	}
	data, err := r.Peek(size)
	if err != nil {
		return size, unexpected(err)
	}
	if err := proto.Unmarshal(data, msg); err != nil {
		return size, err
	}
	_, err = r.Discard(size)
	return 0, err
}

// readGrowing reads size bytes into a buffer that doubles as they arrive. If it fails, it returns those that were read before.
func readGrowing(r io.Reader, size int, grow func(n int) error) ([]byte, error) {
	var data []byte
	for len(data) < size {
		next := min(size, max(firstReadBytes, 2*len(data)))
		if err := grow(next - len(data)); err != nil {
			return data, err
		}
		larger := make([]byte, next)
		n := copy(larger, data)
		if _, err := io.ReadFull(r, larger[n:]); err != nil {
			return data, unexpected(err)
		}
		data = larger
	}
	return data, nil
}

// unexpected returns err, or io.ErrUnexpectedEOF for the end of the stream.
func unexpected(err error) error {
	if errors.Is(err, io.EOF) {
		return io.ErrUnexpectedEOF
	}
	return err
}

func newReader(r io.Reader) *bufio.Reader {
	return bufio.NewReaderSize(r, readBufferBytes)
}
