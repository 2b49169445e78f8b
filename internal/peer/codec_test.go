package peer

import (
	"bytes"
	"encoding/binary"
	"errors"
	"io"
	"runtime"
	"testing"

	"laburnumpoint/internal/wire"
)

// Guards against a process that allocates what another one announces but doesn't send.
func TestAnnouncedMessageTakesOnlyWhatArrives(t *testing.T) {
	const messages, most = 100, 16 << 20
	start := binary.AppendUvarint(nil, MaxMessageBytes)
	start = append(start, make([]byte, 10)...)
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	for range messages {
		if err := decode(newReader(bytes.NewReader(start)), new(wire.Request)); !errors.Is(err, io.ErrUnexpectedEOF) {
			t.Fatalf("error %v, want io.ErrUnexpectedEOF", err)
		}
	}
	runtime.ReadMemStats(&after)
	if took := after.TotalAlloc - before.TotalAlloc; took > most {
		t.Errorf("%d beginnings of messages took %d bytes, want at most %d", messages, took, most)
	}
}
