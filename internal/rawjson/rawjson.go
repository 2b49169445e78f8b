// Package rawjson splits JSON that others wrote into its parts, so that a part that can't be decoded hides no other. Package encoding/json
// rejects a document as a whole, for example one with a part that is nested too deeply.
package rawjson

import (
	"bytes"
	"encoding/json"
	"errors"
)

// ErrSyntax means that a text is no object or no array, or that it ends within a part.
var ErrSyntax = errors.New("rawjson: not an object or array with complete parts")

// Fields returns the fields of an object. Their values may be invalid. Of two fields with the same name the last one counts.
func Fields(object []byte) (map[string]json.RawMessage, error) {
	fields := make(map[string]json.RawMessage)
	err := eachPart(object, '{', '}', func(s *scanner) error {
		var name string
		if err := json.Unmarshal(s.value(), &name); err != nil {
			return ErrSyntax
		}
		if s.space(); s.peek() != ':' {
			return ErrSyntax
		}
		s.at++
		s.space()
		fields[name] = s.value()
		return nil
	})
	if err != nil {
		return nil, err
	}
	return fields, nil
}

// Elements returns the elements of an array, none of null or of a field that is missing. They may be invalid.
func Elements(array []byte) ([]json.RawMessage, error) {
	var elements []json.RawMessage
	if len(array) == 0 || string(array) == "null" {
		return nil, nil
	}
	err := eachPart(array, '[', ']', func(s *scanner) error {
		elements = append(elements, s.value())
		return nil
	})
	if err != nil {
		return nil, err
	}
	return elements, nil
}

// eachPart calls read at the beginning of each part between two brackets.
func eachPart(data []byte, begin, end byte, read func(*scanner) error) error {
	s := &scanner{data: data}
	if s.space(); s.peek() != begin {
		return ErrSyntax
	}
	s.at++
	if s.space(); s.peek() == end {
		s.at++
		return s.end()
	}
	for {
		s.space()
		before := s.at
		if err := read(s); err != nil {
			return err
		}
		if s.space(); s.at == before {
			return ErrSyntax
		}
		next := s.peek()
		s.at++
		switch next {
		case ',':
		case end:
			return s.end()
		default:
			return ErrSyntax
		}
	}
}

// scanner reads values without their meaning. It counts brackets, so that depth costs no stack.
type scanner struct {
	data []byte
	at   int
}

// peek returns the next byte; 0 at the end.
func (s *scanner) peek() byte {
	if s.at >= len(s.data) {
		return 0
	}
	return s.data[s.at]
}

func (s *scanner) space() {
	for s.at < len(s.data) && bytes.IndexByte([]byte(" \t\r\n"), s.data[s.at]) >= 0 {
		s.at++
	}
}

// end returns an error unless only white space follows.
func (s *scanner) end() error {
	if s.space(); s.at != len(s.data) {
		return ErrSyntax
	}
	return nil
}

// value returns the text of the next value, without the white space around it.
func (s *scanner) value() json.RawMessage {
	start, depth := s.at, 0
	for s.at < len(s.data) {
		switch s.data[s.at] {
		case '"':
			s.text()
		case '[', '{':
			depth++
			s.at++
		case ']', '}':
			if depth == 0 {
				return bytes.TrimRight(s.data[start:s.at], " \t\r\n")
			}
			depth--
			s.at++
		case ',', ':':
			if depth == 0 {
				return bytes.TrimRight(s.data[start:s.at], " \t\r\n")
			}
			s.at++
		default:
			s.at++
		}
	}
	return s.data[start:s.at]
}

// text skips a string.
func (s *scanner) text() {
	for s.at++; s.at < len(s.data); s.at++ {
		switch s.data[s.at] {
		case '\\':
			s.at++
		case '"':
			s.at++
			return
		}
	}
}
