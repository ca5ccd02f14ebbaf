package http1

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"net/http"
	"runtime"
	"strings"
	"testing"
	"testing/iotest"
)

func reader(s string) *bufio.Reader { return bufio.NewReaderSize(strings.NewReader(s), 64) }

func TestReadRequest(t *testing.T) {
	for _, c := range []struct {
		name, in string
		want     error
	}{
		{"plain", "GET /a?b HTTP/1.1\r\nHost: x\r\nA:  b \r\n\r\n", nil},
		{"bare newlines", "GET / HTTP/1.1\nHost: x\n\n", ErrMalformed},
		{"nothing", "", io.EOF},
		{"cut in the line", "GET / HT", io.ErrUnexpectedEOF},
		{"cut in the head", "GET / HTTP/1.1\r\nHost: x\r\n", io.ErrUnexpectedEOF},
		{"no version", "GET /\r\n\r\n", ErrMalformed},
		{"version 2", "GET / HTTP/2.0\r\n\r\n", ErrMalformed},
		{"two spaces", "GET  / HTTP/1.1\r\n\r\n", ErrMalformed},
		{"bad method", "G{T / HTTP/1.1\r\n\r\n", ErrMalformed},
		{"space before the colon", "GET / HTTP/1.1\r\nHost : x\r\n\r\n", ErrMalformed},
		{"folded line", "GET / HTTP/1.1\r\nA: b\r\n c\r\n\r\n", ErrMalformed},
		{"control character", "GET / HTTP/1.1\r\nA: \x00\r\n\r\n", ErrMalformed},
		{"long line", "GET /" + strings.Repeat("a", MaxLine) + " HTTP/1.1\r\n\r\n", ErrTooLarge},
		{"flood of headers", "GET / HTTP/1.1\r\n" + strings.Repeat("A: b\r\n", MaxHeaders+1) + "\r\n", ErrTooLarge},
		{"large head", "GET / HTTP/1.1\r\n" + strings.Repeat("A: "+strings.Repeat("b", 4000)+"\r\n", 10) + "\r\n", ErrTooLarge},
	} {
		req, err := ReadRequest(reader(c.in))
		if !errors.Is(err, c.want) || c.want == nil && (err != nil || req.Method != "GET" || req.Header.Get("host") != "x") {
			t.Errorf("%s: %+v, %v; want %v", c.name, req, err, c.want)
		}
	}
}

func TestBodies(t *testing.T) {
	head := "HTTP/1.1 200 OK\r\n"
	for _, c := range []struct {
		name, in, want string
		err            error
		whole          bool
	}{
		{"length", head + "Content-Length: 3\r\n\r\nabcrest", "abc", nil, true},
		{"no bytes", head + "Content-Length: 0\r\n\r\n", "", nil, true},
		{"cut", head + "Content-Length: 5\r\n\r\nabc", "abc", io.ErrUnexpectedEOF, false},
		{"chunks", head + "Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\nA;x=y\r\n0123456789\r\n0\r\nT: v\r\n\r\n", "abc0123456789", nil, true},
		{"chunks cut", head + "Transfer-Encoding: chunked\r\n\r\n3\r\nab", "ab", io.ErrUnexpectedEOF, false},
		{"chunks without end", head + "Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n", "abc", io.ErrUnexpectedEOF, false},
		{"chunk of no size", head + "Transfer-Encoding: chunked\r\n\r\nx\r\n", "", ErrMalformed, false},
		{"chunk too long", head + "Transfer-Encoding: chunked\r\n\r\nfffffffffffff\r\n", "", ErrMalformed, false},
		{"chunk longer than told", head + "Transfer-Encoding: chunked\r\n\r\n1\r\nabc\r\n", "a", ErrMalformed, false},
		{"to the close", head + "\r\nabc", "abc", nil, false},
		{"no content", "HTTP/1.1 204 No Content\r\n\r\n", "", nil, true},
		{"both at once", head + "Content-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\nabc", "", ErrMalformed, false},
		{"two lengths", head + "Content-Length: 3\r\nContent-Length: 4\r\n\r\nabc", "", ErrMalformed, false},
		{"negative length", head + "Content-Length: -3\r\n\r\nabc", "", ErrMalformed, false},
		{"unknown coding", head + "Transfer-Encoding: gzip\r\n\r\nabc", "", ErrMalformed, false},
	} {
		r := bufio.NewReader(iotest.OneByteReader(strings.NewReader(c.in)))
		res, err := ReadResponse(r)
		if err != nil {
			t.Fatalf("%s: %v", c.name, err)
		}
		body, err := ResponseBody(r, res)
		var got []byte
		if err == nil {
			got, err = io.ReadAll(body)
		}
		if string(got) != c.want || !errors.Is(err, c.err) || c.err == nil && (err != nil || body.Complete() != c.whole) {
			t.Errorf("%s: %q, %v; want %q, %v", c.name, got, err, c.want, c.err)
		}
	}
}

// Chunked bodies are compatible with net/http in both directions.
func TestChunksOfStandardLibrary(t *testing.T) {
	want := strings.Repeat("some text; ", 1000)
	var wire bytes.Buffer
	res := &http.Response{StatusCode: 200, ProtoMajor: 1, ProtoMinor: 1, ContentLength: -1,
		TransferEncoding: []string{"chunked"}, Body: io.NopCloser(strings.NewReader(want))}
	if err := res.Write(&wire); err != nil {
		t.Fatal(err)
	}
	r := bufio.NewReaderSize(&wire, 100)
	head, err := ReadResponse(r)
	if err != nil {
		t.Fatal(err)
	}
	body, _ := ResponseBody(r, head)
	if got, err := io.ReadAll(body); err != nil || string(got) != want {
		t.Fatalf("%d bytes, %v", len(got), err)
	}
	var out bytes.Buffer
	w := bufio.NewWriter(&out)
	WriteHead(w, "HTTP/1.1 200 OK", Header{{"Transfer-Encoding", "chunked"}})
	WriteChunk(w, []byte(want))
	WriteChunk(w, nil)
	std, err := http.ReadResponse(bufio.NewReader(&out), nil)
	if err != nil {
		t.Fatal(err)
	}
	if got, err := io.ReadAll(std.Body); err != nil || string(got) != want {
		t.Fatalf("net/http reads %d bytes, %v", len(got), err)
	}
}

func TestEvents(t *testing.T) {
	for _, c := range []struct {
		name, in, want string
		err            error
	}{
		{"two", "data: a\n\ndata: b\n\n", "a|b|", io.EOF},
		{"carriage returns", "data: a\r\n\r\n", "a|", io.EOF},
		{"comments and fields", ": hi\nevent: x\nid: 3\ndata: a\nretry: 1\n\n", "a|", io.EOF},
		{"lines of one event", "data: a\ndata: b\n\n", "a\nb|", io.EOF},
		{"no space", "data:a\n\n", "a|", io.EOF},
		{"no colon", "data\n\n", "|", io.EOF},
		{"other field", "database: a\n\ndata: b\n\n", "b|", io.EOF},
		{"cut inside an event", "data: a\n\ndata: b\n", "a|", io.ErrUnexpectedEOF},
		{"cut inside a line", "data: a\n\ndata: b", "a|", io.ErrUnexpectedEOF},
		{"long", "data: " + strings.Repeat("x", 5000) + "\n\n", strings.Repeat("x", 5000) + "|", io.EOF},
		{"too long", "data: " + strings.Repeat("x", MaxEvent+10) + "\n\n", "", ErrTooLarge},
		{"too many lines", strings.Repeat("data: "+strings.Repeat("x", 1000)+"\n", 300), "", ErrTooLarge},
	} {
		ev := NewEvents(strings.NewReader(c.in))
		got := ""
		for {
			data, err := ev.Next()
			if err != nil {
				if got != c.want || !errors.Is(err, c.err) {
					t.Errorf("%s: %.60q, %v; want %.60q, %v", c.name, got, err, c.want, c.err)
				}
				break
			}
			got += string(data) + "|"
		}
	}
}

// A head that is parsed, written and parsed again stays the same.
func FuzzRequest(f *testing.F) {
	f.Add("GET / HTTP/1.1\r\nHost: x\r\n\r\n")
	f.Fuzz(func(t *testing.T, in string) {
		req, err := ReadRequest(reader(in))
		if err != nil {
			return
		}
		var out bytes.Buffer
		w := bufio.NewWriter(&out)
		WriteHead(w, fmt.Sprintf("%s %s HTTP/1.%d", req.Method, req.Target, req.Minor), req.Header)
		w.Flush()
		reread, err := ReadRequest(bufio.NewReader(&out))
		if err != nil || fmt.Sprint(reread) != fmt.Sprint(req) {
			t.Fatalf("%v became %v, %v", req, reread, err)
		}
	})
}

// A chunked body is read as net/http reads it, or refused.
func FuzzChunks(f *testing.F) {
	f.Add("3\r\nabc\r\n0\r\n\r\n")
	f.Fuzz(func(t *testing.T, in string) {
		body, err := RequestBody(reader(in), Header{{"Transfer-Encoding", "chunked"}})
		if err != nil {
			t.Fatal(err)
		}
		got, err := io.ReadAll(body)
		if err != nil {
			return
		}
		req, err := http.ReadRequest(bufio.NewReader(strings.NewReader("POST / HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n" + in)))
		if err != nil {
			t.Fatal(err)
		}
		if want, err := io.ReadAll(req.Body); err == nil && !bytes.Equal(got, want) {
			t.Fatalf("%q, net/http reads %q", got, want)
		}
	})
}

func FuzzEvents(f *testing.F) {
	f.Add("data: a\n\n: c\ndata: b\r\n\r\n")
	f.Fuzz(func(t *testing.T, in string) {
		ev := NewEvents(strings.NewReader(in))
		for range 10000 {
			if data, err := ev.Next(); err != nil {
				return
			} else if len(data) > MaxEvent {
				t.Fatalf("an event of %d bytes", len(data))
			}
		}
	})
}

func BenchmarkEvents(b *testing.B) {
	one := "data: {\"choices\":[{\"index\":0,\"text\":\" token\",\"finish_reason\":null}]}\n\n"
	ev := NewEvents(&repeatingReader{text: one})
	b.ReportAllocs()
	for b.Loop() {
		if _, err := ev.Next(); err != nil {
			b.Fatal(err)
		}
	}
}

type repeatingReader struct {
	text string
	pos  int
}

func (e *repeatingReader) Read(p []byte) (int, error) {
	n := copy(p, e.text[e.pos:])
	e.pos = (e.pos + n) % len(e.text)
	return n, nil
}

// FuzzRawEvents reads a chunked body directly and through RawEvents: the events are the same bytes if the body is
// complete, otherwise a prefix of them.
func FuzzRawEvents(f *testing.F) {
	f.Add("9\r\ndata: a\n\n\r\n0\r\n\r\n")
	f.Add("A;x=y\r\ndata: a\r\n\r\nb\r\n\r\ndata: b\r\n\r\n0\r\nT: v\r\n\r\n")
	f.Add("1\r\nabc\r\n0\r\n\r\n")
	f.Add("9\r\n: none\n\nd\r\n8\r\nata: a\n\n\r\n3\r\n: c\r\n0\r\n\r\n")
	f.Fuzz(func(t *testing.T, text string) {
		body := func() *Body {
			b, err := RequestBody(bufio.NewReader(strings.NewReader(text)), Header{{"Transfer-Encoding", "chunked"}})
			if err != nil {
				t.Fatal(err)
			}
			b.LimitChunk(1 << 20)
			return b
		}
		whole, err := io.ReadAll(body())
		var got []byte
		var eventErr error
		for ev := NewRawEvents(body()); eventErr == nil; {
			var part []byte
			part, eventErr = ev.Next()
			if eventErr == nil && !bytes.HasSuffix(part, []byte("\n")) {
				t.Fatalf("%q is not a whole event", part)
			}
			got = append(got, part...)
		}
		if (err == nil) != (eventErr == io.EOF) {
			t.Fatalf("read: %v, by events: %v", err, eventErr)
		}
		if !bytes.HasPrefix(whole, got) || err == nil && len(got) != len(whole) && strings.Contains(string(whole), "data:") && len(got) > 0 {
			t.Fatalf("%q and %q", whole, got)
		}
	})
}

// partsReader returns at most one part per Read.
type partsReader struct {
	parts []string
	next  int
}

func (p *partsReader) Read(b []byte) (int, error) {
	if p.next == len(p.parts) {
		return 0, io.EOF
	}
	n := copy(b, p.parts[p.next])
	if p.parts[p.next] = p.parts[p.next][n:]; p.parts[p.next] == "" {
		p.next++
	}
	return n, nil
}

// An event is returned as soon as it is complete, wherever chunks end, and not before. A chunk whose size exceeds the
// limit fails before its data arrives.
func TestRawEvents(t *testing.T) {
	in := &partsReader{parts: []string{
		"12\r\n: none\n\ndata: abc", // a comment and half an event: nothing is returned yet
		"\n\r\n1\r\n",
		"\n", // completes the event; the end of its chunk is missing
		"\r\n1d\r\ndata: b\n\ndata: c\n\ndata", ": d\r\n\r\n\r\n4\r\nrest\r\n", "b2d05e00\r\n", "x"}}
	body, err := ResponseBody(bufio.NewReader(in), &Response{Status: 200, Header: Header{{"Transfer-Encoding", "chunked"}}})
	if err != nil {
		t.Fatal(err)
	}
	body.LimitChunk(1000)
	ev := NewRawEvents(body)
	for _, c := range []struct {
		want string
		read int // parts read by then
	}{{": none\n\ndata: abc\n\n", 3}, {"data: b\n\ndata: c\n\n", 4}, {"data: d\r\n\r\n", 5}} {
		got, err := ev.Next()
		if err != nil || string(got) != c.want || in.next != c.read {
			t.Fatalf("%q after %d parts, %v; %q expected after %d", got, in.next, err, c.want, c.read)
		}
	}
	if got, err := ev.Next(); !errors.Is(err, ErrTooLarge) || in.next != 6 {
		t.Errorf("%q, %v after %d parts", got, err, in.next)
	}
}

// A body is limited by its own limit and by the one for all bodies together, and an announced length alone allocates no
// memory.
func TestReadWhole(t *testing.T) {
	chunked := Header{{"Transfer-Encoding", "chunked"}}
	length := func(n int) Header { return Header{{"Content-Length", fmt.Sprint(n)}} }
	for _, c := range []struct {
		name      string
		h         Header
		in        string
		most, all int64
		held      int64
		want      error
	}{
		{"whole", length(10), "0123456789", 10, 10, 10, nil},
		{"chunks", chunked, "5\r\n01234\r\n5\r\n56789\r\n0\r\n\r\n", 10, 10, 10, nil},
		{"told too large", length(11), "", 10, 100, 0, ErrBodyTooLarge},
		{"chunks too large", chunked, "b\r\n0123456789a\r\n0\r\n\r\n", 10, 100, 11, ErrBodyTooLarge},
		{"crowded", length(10), "0123456789", 10, 9, 10, ErrBudgetExceeded},
		{"cut", length(1 << 30), "0123456789", 1 << 30, 1 << 30, 10, io.ErrUnexpectedEOF},
	} {
		var budget Budget
		b, err := RequestBody(reader(c.in), c.h)
		if err != nil {
			t.Fatal(err)
		}
		var text []byte
		var held int64
		before := allocated()
		text, held, err = b.ReadAll(c.most, c.all, &budget)
		if grown := allocated() - before; grown > 1<<20 {
			t.Errorf("%s: allocated %d bytes", c.name, grown)
		}
		if !errors.Is(err, c.want) || held != c.held || err == nil && string(text) != "0123456789" {
			t.Errorf("%s: %q, %d held, %v", c.name, text, held, err)
		}
		if budget.Release(held); budget.used.Load() != 0 {
			t.Errorf("%s: %d bytes still counted in the budget", c.name, budget.used.Load())
		}
	}
}

func allocated() uint64 {
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.TotalAlloc
}
