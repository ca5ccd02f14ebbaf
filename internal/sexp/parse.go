// Package sexp reads the configuration files of gannethook: S-expressions of words, quoted strings and lists, with comments
// from ';' to the end of the line. Every node has its line and column, so that each error names its position. Decode sets
// Go structs from a file.
package sexp

import (
	"errors"
	"fmt"
	"io"
	"os"
	"strconv"
	"strings"
	"unicode"
	"unicode/utf8"
)

// Bounds of a file, which guard against exhausting memory or stack; Parse returns an error beyond them.
const (
	MaxBytes = 1 << 20 // size of the text
	MaxDepth = 32      // nesting of lists
)

// Pos is a position in a file. Lines and columns count from 1, columns in characters.
type Pos struct {
	File      string
	Line, Col int
}

func (p Pos) String() string { return fmt.Sprintf("%s:%d:%d", p.File, p.Line, p.Col) }

// Error is an error at a position in a file.
type Error struct {
	Pos Pos
	Msg string
}

func (e *Error) Error() string { return e.Pos.String() + ": " + e.Msg }

// Errorf returns an *Error at a position.
func Errorf(p Pos, format string, args ...any) error {
	return &Error{Pos: p, Msg: fmt.Sprintf(format, args...)}
}

// Node is a list, a word or a quoted string; a word has neither List nor Quoted set.
type Node struct {
	Pos    Pos
	List   bool
	Quoted bool
	Text   string  // of a word or a string, without its quotes
	Items  []*Node // of a list
}

// Head returns the word that a list starts with, or "".
func (n *Node) Head() string {
	if n.List && len(n.Items) > 0 && !n.Items[0].List && !n.Items[0].Quoted {
		return n.Items[0].Text
	}
	return ""
}

// load reads at most MaxBytes+1 bytes of a file: Parse rejects a longer file without its being read whole.
func load(path string) (string, error) {
	f, err := os.Open(path)
	if err != nil {
		return "", err
	}
	defer f.Close()
	text, err := io.ReadAll(io.LimitReader(f, MaxBytes+1))
	if err != nil {
		return "", fmt.Errorf("%s: %w", path, err)
	}
	return string(text), nil
}

// Parse reads the top-level nodes of a text; file names it in errors.
func Parse(file, text string) ([]*Node, error) {
	p := &parser{text: text, pos: Pos{file, 1, 1}}
	if len(text) > MaxBytes {
		return nil, Errorf(p.pos, "the file has over %d bytes", MaxBytes)
	}
	var forms []*Node
	for {
		n, err := p.node(0)
		if errors.Is(err, io.EOF) {
			return forms, nil
		}
		if err != nil {
			return nil, err
		}
		forms = append(forms, n)
	}
}

// parser reads nodes from a text.
type parser struct {
	text string // not yet read
	pos  Pos    // of its first character
}

// peek returns the next character, or -1 at the end.
func (p *parser) peek() rune {
	if p.text == "" {
		return -1
	}
	c, _ := utf8.DecodeRuneInString(p.text)
	return c
}

// next consumes the next character and returns it.
func (p *parser) next() rune {
	c, size := utf8.DecodeRuneInString(p.text)
	p.text = p.text[size:]
	if c == '\n' {
		p.pos.Line, p.pos.Col = p.pos.Line+1, 1
	} else {
		p.pos.Col++
	}
	return c
}

// skipSpace consumes white space and comments.
func (p *parser) skipSpace() {
	for {
		c := p.peek()
		switch {
		case c == ';':
			for c := p.peek(); c != '\n' && c != -1; c = p.peek() {
				p.next()
			}
		case c != -1 && unicode.IsSpace(c):
			p.next()
		default:
			return
		}
	}
}

// node reads one node inside depth lists. It returns io.EOF at the end of the text.
func (p *parser) node(depth int) (*Node, error) {
	p.skipSpace()
	start := p.pos
	switch c := p.peek(); {
	case c == -1:
		return nil, io.EOF
	case c == '(':
		return p.list(depth)
	case c == ')':
		return nil, Errorf(start, "this ')' closes nothing")
	case c == '"':
		return p.quoted()
	default:
		return p.word()
	}
}

// list reads a list from its opening parenthesis on.
func (p *parser) list(depth int) (*Node, error) {
	n := &Node{Pos: p.pos, List: true}
	if depth >= MaxDepth {
		return nil, Errorf(p.pos, "lists are nested more than %d deep", MaxDepth)
	}
	p.next()
	for {
		p.skipSpace()
		if p.peek() == ')' {
			p.next()
			return n, nil
		}
		item, err := p.node(depth + 1)
		if errors.Is(err, io.EOF) {
			return nil, Errorf(n.Pos, "this '(' is never closed")
		}
		if err != nil {
			return nil, err
		}
		n.Items = append(n.Items, item)
	}
}

// quoted reads a string on one line, with the escapes of Go.
func (p *parser) quoted() (*Node, error) {
	n := &Node{Pos: p.pos, Quoted: true}
	rest := p.text
	p.next()
	for {
		switch c := p.peek(); c {
		case -1, '\n':
			return nil, Errorf(n.Pos, "this string is never closed on its line")
		case '\\':
			p.next()
			if p.peek() != -1 {
				p.next()
			}
		case '"':
			p.next()
			text, err := strconv.Unquote(rest[:len(rest)-len(p.text)])
			if err != nil {
				return nil, Errorf(n.Pos, "this string has an unknown escape")
			}
			n.Text = text
			return n, nil
		default:
			p.next()
		}
	}
}

// word reads up to white space, a parenthesis, a quote or a comment.
func (p *parser) word() (*Node, error) {
	n := &Node{Pos: p.pos}
	var b strings.Builder
	for {
		c := p.peek()
		if c == -1 || unicode.IsSpace(c) || strings.ContainsRune(`();"`, c) {
			n.Text = b.String()
			return n, nil
		}
		if c == utf8.RuneError || unicode.IsControl(c) {
			return nil, Errorf(p.pos, "this character is not text")
		}
		b.WriteRune(p.next())
	}
}
