// Package jsonscan finds values in JSON text (RFC 8259) without building them,
// so that a token can be passed on as it came, still escaped, with no allocation.
package jsonscan

import (
	"errors"
	"unicode/utf8"
)

// ErrBad tells that the text is not JSON.
var ErrBad = errors.New("json: bad text")

const maxDepth = 64

// Find returns the raw value at a path of object keys; "0" as a step takes an
// array's first element. found is false where the path leads nowhere. The
// whole text is checked.
func Find(text []byte, path ...string) (raw []byte, found bool, err error) {
	s := scanner{text: text}
	raw, found = s.find(path)
	s.space()
	if s.bad || s.at != len(text) {
		return nil, false, ErrBad
	}
	return raw, found, nil
}

type scanner struct {
	text []byte
	at   int
	deep int
	bad  bool
}

func (s *scanner) space() {
	for s.at < len(s.text) {
		switch s.text[s.at] {
		case ' ', '\t', '\n', '\r':
			s.at++
		default:
			return
		}
	}
}

func (s *scanner) peek() byte {
	if s.space(); s.at < len(s.text) {
		return s.text[s.at]
	}
	return 0
}

func (s *scanner) take(c byte) bool {
	if s.peek() == c {
		s.at++
		return true
	}
	return false
}

// find reads one value and looks into it along the path.
func (s *scanner) find(path []string) ([]byte, bool) {
	if len(path) == 0 {
		s.space()
		from := s.at
		s.skip()
		return s.text[from:s.at], !s.bad
	}
	switch s.peek() {
	case '{':
		return s.object(path)
	case '[':
		return s.array(path)
	}
	s.skip()
	return nil, false
}

func (s *scanner) object(path []string) (raw []byte, found bool) {
	s.enter()
	defer s.leave()
	if s.take('}') {
		return nil, false
	}
	for !s.bad {
		s.space()
		from := s.at
		s.str()
		key := s.text[min(from, len(s.text)):s.at]
		if !s.take(':') {
			s.bad = true
			return nil, false
		}
		if len(path) > 0 && !found && len(key) >= 2 && string(key[1:len(key)-1]) == path[0] {
			raw, found = s.find(path[1:])
		} else {
			s.skip()
		}
		if s.take('}') {
			return raw, found
		}
		s.bad = s.bad || !s.take(',')
	}
	return nil, false
}

func (s *scanner) array(path []string) (raw []byte, found bool) {
	s.enter()
	defer s.leave()
	if s.take(']') {
		return nil, false
	}
	for first := true; !s.bad; first = false {
		if first && len(path) > 0 && path[0] == "0" {
			raw, found = s.find(path[1:])
		} else {
			s.skip()
		}
		if s.take(']') {
			return raw, found
		}
		s.bad = s.bad || !s.take(',')
	}
	return nil, false
}

func (s *scanner) enter() {
	s.at++
	s.deep++
	s.bad = s.bad || s.deep > maxDepth
}

func (s *scanner) leave() { s.deep-- }

func (s *scanner) skip() {
	switch c := s.peek(); {
	case s.bad:
	case c == '{':
		s.object(nil)
	case c == '[':
		s.array(nil)
	case c == '"':
		s.str()
	case c == 't':
		s.literal("true")
	case c == 'f':
		s.literal("false")
	case c == 'n':
		s.literal("null")
	default:
		s.number()
	}
}

func (s *scanner) literal(word string) {
	if len(s.text)-s.at < len(word) || string(s.text[s.at:s.at+len(word)]) != word {
		s.bad = true
		return
	}
	s.at += len(word)
}

func (s *scanner) number() {
	if s.at < len(s.text) && s.text[s.at] == '-' {
		s.at++
	}
	if s.at < len(s.text) && s.text[s.at] == '0' {
		s.at++
	} else {
		s.digits()
	}
	if s.at < len(s.text) && s.text[s.at] == '.' {
		s.at++
		s.digits()
	}
	if s.at < len(s.text) && (s.text[s.at] == 'e' || s.text[s.at] == 'E') {
		s.at++
		if s.at < len(s.text) && (s.text[s.at] == '+' || s.text[s.at] == '-') {
			s.at++
		}
		s.digits()
	}
}

func (s *scanner) digits() {
	from := s.at
	for s.at < len(s.text) && s.text[s.at] >= '0' && s.text[s.at] <= '9' {
		s.at++
	}
	s.bad = s.bad || s.at == from
}

// str reads a string: its escapes, no control characters, UTF-8.
func (s *scanner) str() {
	if s.at >= len(s.text) || s.text[s.at] != '"' {
		s.bad = true
		return
	}
	from := s.at + 1
	for s.at++; s.at < len(s.text); s.at++ {
		switch c := s.text[s.at]; {
		case c == '"':
			s.bad = s.bad || !utf8.Valid(s.text[from:s.at])
			s.at++
			return
		case c < ' ':
			s.bad = true
			return
		case c == '\\':
			s.at++
			if !s.escape() {
				s.bad = true
				return
			}
		}
	}
	s.bad = true
}

// escape checks what follows a backslash and stops at its last character.
func (s *scanner) escape() bool {
	if s.at >= len(s.text) {
		return false
	}
	switch s.text[s.at] {
	case '"', '\\', '/', 'b', 'f', 'n', 'r', 't':
		return true
	case 'u':
		for range 4 {
			s.at++
			if s.at >= len(s.text) || !isHex(s.text[s.at]) {
				return false
			}
		}
		return true
	}
	return false
}

func isHex(c byte) bool {
	return c >= '0' && c <= '9' || c >= 'a' && c <= 'f' || c >= 'A' && c <= 'F'
}
