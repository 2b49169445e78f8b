package graph

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
)

// What a job's decoded form takes at most, beside what its document's bytes become.
const (
	// decodedStepBytes is the size of a step, doubled since the list grows by doubling.
	decodedStepBytes = 2 * 256
	// decodedByteFactor is for a list of numbers: two bytes of a document make one of eight bytes, and the list grows by doubling.
	decodedByteFactor = 8
)

// ErrTooManySteps means that a document has more than MaxSteps steps.
var ErrTooManySteps = errors.New("too many steps")

// DecodedBytes bounds the memory that decoding a job's JSON document takes if CheckDocument accepts it.
func DecodedBytes(document []byte) int64 {
	steps := min(commas(document), MaxSteps) + 1
	return int64(len(document))*decodedByteFactor + int64(steps)*decodedStepBytes
}

func commas(document []byte) int { return bytes.Count(document, []byte{','}) }

// CheckDocument returns an error that wraps ErrTooManySteps if the field "steps" of a JSON document has more than MaxSteps elements.
// The elements aren't decoded, since a small document can have very many. All other mistakes are left to the decoder.
func CheckDocument(document []byte) error {
	if commas(document) < MaxSteps {
		return nil // too short a list, wherever it is
	}
	var probe struct {
		Steps elementCount `json:"steps"`
	}
	// The first value counts: a decoder of a stream decodes it whatever follows.
	if err := json.NewDecoder(bytes.NewReader(document)).Decode(&probe); errors.Is(err, ErrTooManySteps) {
		return err
	}
	return nil
}

// elementCount counts the elements of an array in place of decoding them.
type elementCount int

// UnmarshalJSON implements json.Unmarshaler. Package encoding/json calls it with the text of a valid value, for each field of the name.
func (c *elementCount) UnmarshalJSON(value []byte) error {
	*c = 0
	depth, inString := 0, false
	for i := 0; i < len(value); i++ {
		b := value[i]
		switch {
		case inString && b == '\\':
			i++
		case b == '"':
			inString = !inString
		case inString:
		case b == '[' || b == '{':
			depth++
		case b == ']' || b == '}':
			depth--
		case b == ',' && depth == 1:
			*c++
		}
	}
	if len(value) > 0 && value[0] == '[' && *c >= MaxSteps {
		return fmt.Errorf("%w: %d, want at most %d", ErrTooManySteps, *c+1, MaxSteps)
	}
	return nil
}
