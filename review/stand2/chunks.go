package main

import (
	"fmt"
	"net"
	"net/http"
	"strings"
	"time"
)

func init() { cases["10"] = bigChunk }

const (
	answerTokens = 700      // of the answer: 8 of these in an event
	bigChunkSize = 80 << 10 // a body holds up to 256 KiB
	otherChunk   = 16 << 10 // without the disruption
	eventSize    = 960
)

// bigChunk: a stream whose rest comes in one chunk of 80 KiB.
func bigChunk(e *env) (bool, error) {
	f, err := newFleet(e.rec)
	if err != nil {
		return false, err
	}
	write := func(w *worker, c *call) {
		nc, buf, err := c.rw.(http.Hijacker).Hijack()
		if err != nil {
			return
		}
		defer nc.Close()
		chunk := func(text string) {
			fmt.Fprintf(buf, "%x\r\n%s\r\n", len(text), text)
			buf.Flush()
		}
		buf.WriteString("HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\nConnection: close\r\n\r\n")
		for n := range 3 {
			chunk(event(c.id, n))
			time.Sleep(tokenGap)
		}
		var rest strings.Builder
		for n := 3; rest.Len() < bigChunkSize; n++ {
			rest.WriteString(event(c.id+strings.Repeat("w", eventSize), n))
		}
		text := rest.String()
		size := otherChunk
		if e.trouble {
			size = len(text)
		}
		for len(text) > 0 {
			k := min(size, len(text))
			chunk(text[:k])
			text = text[k:]
		}
		chunk("data: [DONE]\n\n")
		buf.WriteString("0\r\n\r\n")
		err = buf.Flush()
		e.rec.note("%s: the stream of %s is written to its last chunk: %d bytes in chunks of up to %d (%v)", w.uid, c.id, rest.Len(), size, err)
		time.Sleep(time.Second)
	}
	for range 2 {
		f.add("lectura", 0, reads(50*time.Millisecond))
		f.add("respuesta", 0, writes(write))
	}
	r, err := startRouter(f, e.dir, estacionamiento())
	if err != nil {
		return false, err
	}
	defer r.kill()
	held := true
	for n := range 3 {
		id := fmt.Sprintf("answer%d", n)
		nc, err := net.Dial("tcp", r.listen)
		if err != nil {
			return false, err
		}
		fmt.Fprint(nc, requestText(id, "multa", id, 8000, 200, "hola"))
		status, whole, _ := answer(e.rec, nc, id)
		nc.Close()
		if status == 200 && !whole {
			e.rec.note("BROKEN: the stream of %s was cut though its worker wrote it to its last chunk", id)
			held = false
		}
	}
	return held, nil
}
