package intent

import (
	"crypto/rand"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"time"

	"github.com/cespare/xxhash/v2"

	"laburnumpoint/internal/cell"
	"laburnumpoint/internal/platform"
)

// keyPrefix starts the table key of every intent. The number of its partition follows, so that a part of all rows can be
// listed at a time.
const keyPrefix = "intent/"

// partitionCount is the number of parts that intents are spread over by their task's hash.
const partitionCount = 4096

// maxInlineAnswerBytes bounds the answer kept in a row, in bytes. A larger answer is not kept: the record then says only
// that the task ended.
const maxInlineAnswerBytes = 16 << 10

// tokenBytes is the number of random bytes in a token.
const tokenBytes = 12

// State is an intent's place in its life cycle.
type State string

// The states of an intent.
const (
	// StatePending means that the task may have been dispatched.
	StatePending State = "pending"
	// StateReturned means that no attempt started and none will; the next request may take the intent over.
	StateReturned State = "returned"
	// StateDone means that the task ran to its end.
	StateDone State = "done"
)

// Record is the durable value of one intent.
type Record struct {
	State State `json:"state"`
	// Digest identifies the request's content.
	Digest string `json:"digest"`
	// Token is unique to each write, so that a write whose answer was lost is recognized when it is read back.
	Token  string        `json:"token"`
	Epoch  cell.Epoch    `json:"epoch"`
	Member cell.MemberID `json:"member"`
	// WrittenAt is when the row was written, by its writer's wall clock.
	WrittenAt time.Time `json:"at"`
	// Outcome is the recorded outcome. Only with StateDone; nil if the answer was too large to keep.
	Outcome *cell.Outcome `json:"outcome,omitempty"`
}

// Handle is the right to dispatch one task, held by whoever wrote the row's present version.
type Handle struct {
	key     string
	version uint64
	record  Record
}

// Digest returns the digest of everything that makes two requests under one key the same request.
func Digest(t cell.Task) string {
	sum := sha256.Sum256(platform.EncodeRow(t))
	return hex.EncodeToString(sum[:])
}

func (r Record) encode() []byte {
	return platform.EncodeRow(r)
}

func decodeRow(row platform.Row) (Record, error) {
	var r Record
	err := platform.DecodeRow(row, &r)
	return r, err
}

func rowKey(id cell.TaskID) string {
	return partitionPrefix(int(xxhash.Sum64String(string(id))%partitionCount)) + string(id)
}

func partitionPrefix(n int) string {
	return fmt.Sprintf("%s%03x/", keyPrefix, n)
}

func newToken() string {
	var b [tokenBytes]byte
	// crypto/rand.Read never fails.
	_, _ = rand.Read(b[:])
	return hex.EncodeToString(b[:])
}
