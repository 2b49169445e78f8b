package intent

import (
	"crypto/rand"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"time"

	"github.com/cespare/xxhash/v2"

	"laburnumpoint/internal/cell"
	"laburnumpoint/internal/platformapi"
)

// keyPrefix starts the table key of every intent. The partition number follows, so that one partition can be listed at a
// time.
const keyPrefix = "intent/"

// partitionCount is the number of partitions. An intent's partition is the hash of its task id.
const partitionCount = 4096

// maxInlineAnswerBytes bounds the answer that is stored in a row. For a larger answer the record says only that the task
// ended.
const maxInlineAnswerBytes = 16 << 10

// tokenBytes is the number of random bytes in a token.
const tokenBytes = 12

// State is the state of an intent.
type State string

// The states of an intent.
const (
	// StatePending means that the task may have been dispatched.
	StatePending State = "pending"
	// StateReturned means that no attempt started and none will; the next request may acquire the intent.
	StateReturned State = "returned"
	// StateDone means that the task ran to its end.
	StateDone State = "done"
)

// Record is the stored value of one intent.
type Record struct {
	State State `json:"state"`
	// Digest identifies the request's content.
	Digest string `json:"digest"`
	// Token is unique to each write, so that a process recognizes its own write when it reads the row back after a lost answer.
	Token  string        `json:"token"`
	Epoch  cell.Epoch    `json:"epoch"`
	Member cell.MemberID `json:"member"`
	// WrittenAt is when the row was written, by the writer's wall clock.
	WrittenAt time.Time `json:"at"`
	// Outcome is the task's outcome, set only with StateDone; nil if the answer was too large to store.
	Outcome *cell.Outcome `json:"outcome,omitempty"`
}

// Handle is the right to dispatch one task. It is valid while its version is the row's present version.
type Handle struct {
	key     string
	version uint64
	record  Record
}

// Digest returns the digest of t. Two requests under one key are the same request if their digests are equal.
func Digest(t cell.Task) string {
	sum := sha256.Sum256(platformapi.EncodeRow(t))
	return hex.EncodeToString(sum[:])
}

func (r Record) encode() []byte {
	return platformapi.EncodeRow(r)
}

func decodeRow(row platformapi.Row) (Record, error) {
	var r Record
	err := platformapi.DecodeRow(row, &r)
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
