// Package jsonscan finds values in JSON text (RFC 8259) without decoding them, so that a token's text can be passed on
// unchanged, still escaped, without an allocation.
package jsonscan

import (
	"errors"
	"unicode/utf8"
)

// ErrInvalid is returned for text that is not valid JSON, is not UTF-8 or is nested too deeply.
var ErrInvalid = errors.New("json: invalid text")

const maxDepth = 64 // of nested objects and arrays; bounds the recursion

// Find returns the raw value at a path of object keys; "0" as an element of the path selects the first element of an
// array. found is false if there is no value at the path. The whole text is checked.
func Find(text []byte, path ...string) (raw []byte, found bool, err error) {
	s := scanner{text: text}
	raw, found = s.findValue(path)
	s.skipSpace()
	if s.invalid || s.pos != len(text) {
		return nil, false, ErrInvalid
	}
	return raw, found, nil
}

type scanner struct {
	text    []byte
	pos     int
	depth   int
	invalid bool
}

func (s *scanner) skipSpace() {
	for s.pos < len(s.text) {
		switch s.text[s.pos] {
		case ' ', '\t', '\n', '\r':
			s.pos++
		default:
			return
		}
	}
}

func (s *scanner) peek() byte {
	if s.skipSpace(); s.pos < len(s.text) {
		return s.text[s.pos]
	}
	return 0
}

func (s *scanner) consume(c byte) bool {
	if s.peek() == c {
		s.pos++
		return true
	}
	return false
}

// findValue scans one value and returns the part of it at the path.
func (s *scanner) findValue(path []string) ([]byte, bool) {
	if len(path) == 0 {
		s.skipSpace()
		from := s.pos
		s.skipValue()
		return s.text[from:s.pos], !s.invalid
	}
	switch s.peek() {
	case '{':
		return s.scanObject(path)
	case '[':
		return s.scanArray(path)
	}
	s.skipValue()
	return nil, false
}

func (s *scanner) scanObject(path []string) (raw []byte, found bool) {
	s.enter()
	defer s.leave()
	if s.consume('}') {
		return nil, false
	}
	for !s.invalid {
		s.skipSpace()
		from := s.pos
		s.scanString()
		key := s.text[min(from, len(s.text)):s.pos]
		if !s.consume(':') {
			s.invalid = true
			return nil, false
		}
		if len(path) > 0 && !found && len(key) >= 2 && string(key[1:len(key)-1]) == path[0] {
			raw, found = s.findValue(path[1:])
		} else {
			s.skipValue()
		}
		if s.consume('}') {
			return raw, found
		}
		s.invalid = s.invalid || !s.consume(',')
	}
	return nil, false
}

func (s *scanner) scanArray(path []string) (raw []byte, found bool) {
	s.enter()
	defer s.leave()
	if s.consume(']') {
		return nil, false
	}
	for first := true; !s.invalid; first = false {
		if first && len(path) > 0 && path[0] == "0" {
			raw, found = s.findValue(path[1:])
		} else {
			s.skipValue()
		}
		if s.consume(']') {
			return raw, found
		}
		s.invalid = s.invalid || !s.consume(',')
	}
	return nil, false
}

func (s *scanner) enter() {
	s.pos++
	s.depth++
	s.invalid = s.invalid || s.depth > maxDepth
}

func (s *scanner) leave() { s.depth-- }

func (s *scanner) skipValue() {
	switch c := s.peek(); {
	case s.invalid:
	case c == '{':
		s.scanObject(nil)
	case c == '[':
		s.scanArray(nil)
	case c == '"':
		s.scanString()
	case c == 't':
		s.scanLiteral("true")
	case c == 'f':
		s.scanLiteral("false")
	case c == 'n':
		s.scanLiteral("null")
	default:
		s.scanNumber()
	}
}

func (s *scanner) scanLiteral(literal string) {
	if len(s.text)-s.pos < len(literal) || string(s.text[s.pos:s.pos+len(literal)]) != literal {
		s.invalid = true
		return
	}
	s.pos += len(literal)
}

func (s *scanner) scanNumber() {
	if s.pos < len(s.text) && s.text[s.pos] == '-' {
		s.pos++
	}
	if s.pos < len(s.text) && s.text[s.pos] == '0' {
		s.pos++
	} else {
		s.scanDigits()
	}
	if s.pos < len(s.text) && s.text[s.pos] == '.' {
		s.pos++
		s.scanDigits()
	}
	if s.pos < len(s.text) && (s.text[s.pos] == 'e' || s.text[s.pos] == 'E') {
		s.pos++
		if s.pos < len(s.text) && (s.text[s.pos] == '+' || s.text[s.pos] == '-') {
			s.pos++
		}
		s.scanDigits()
	}
}

func (s *scanner) scanDigits() {
	from := s.pos
	for s.pos < len(s.text) && s.text[s.pos] >= '0' && s.text[s.pos] <= '9' {
		s.pos++
	}
	s.invalid = s.invalid || s.pos == from
}

// scanString scans a string and checks its escapes, that it has no control characters and that it is UTF-8.
func (s *scanner) scanString() {
	if s.pos >= len(s.text) || s.text[s.pos] != '"' {
		s.invalid = true
		return
	}
	from := s.pos + 1
	for s.pos++; s.pos < len(s.text); s.pos++ {
		switch c := s.text[s.pos]; {
		case c == '"':
			s.invalid = s.invalid || !utf8.Valid(s.text[from:s.pos])
			s.pos++
			return
		case c < ' ':
			s.invalid = true
			return
		case c == '\\':
			s.pos++
			if !s.scanEscape() {
				s.invalid = true
				return
			}
		}
	}
	s.invalid = true
}

// scanEscape checks the escape sequence after a backslash and stops at its last character.
func (s *scanner) scanEscape() bool {
	if s.pos >= len(s.text) {
		return false
	}
	switch s.text[s.pos] {
	case '"', '\\', '/', 'b', 'f', 'n', 'r', 't':
		return true
	case 'u':
		for range 4 {
			s.pos++
			if s.pos >= len(s.text) || !isHex(s.text[s.pos]) {
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
