package clients

import (
	"bytes"
	"encoding/json"
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"gannethook"
	"gannethook/internal/driver"
	"gannethook/internal/http1"
)

// path returns a request target without its query.
func path(target string) string {
	p, _, _ := strings.Cut(target, "?")
	return p
}

// requestError is the response to an invalid request.
type requestError struct{ status, reason string }

// Limits on the values in a request's header.
const (
	maxRequestID = 128                                 // bytes
	maxTokens    = 1 << 22                             // in each field of X-Attrs
	maxTimeoutMS = int64(time.Hour / time.Millisecond) // ms
)

// validJSON reports whether a body is a JSON object; workers accept nothing else.
func validJSON(body []byte) bool {
	body = bytes.TrimLeft(body, " \t\r\n")
	return len(body) > 0 && body[0] == '{' && json.Valid(body)
}

// parseJob parses a request's head into a job for the driver.
func parseJob(req *http1.Request, classes map[string]int) (*driver.Job, *requestError) {
	reject := func(reason string) (*driver.Job, *requestError) { return nil, &requestError{"400 Bad Request", reason} }
	if path(req.Target) != ChatPath {
		return nil, &requestError{"404 Not Found", "only " + ChatPath + " is served"}
	}
	if req.Method != "POST" {
		return nil, &requestError{"405 Method Not Allowed", "POST is expected"}
	}
	if req.Header.Get("Host") == "" {
		return reject("Host is missing")
	}
	var values [len(jobHeaders)]string
	for i, id := range jobHeaders {
		v, ok := singleValue(req.Header, id)
		if !ok {
			return reject(id + " comes twice")
		}
		values[i] = v
	}
	id, class, session, timeout, attrs, tenant := values[0], values[1], values[2], values[3], values[4], values[5]
	if !validRequestID(id) {
		return reject("X-Request-ID: up to 128 letters, digits, '-', '_' or '.' expected")
	}
	classIndex, ok := classes[class]
	if !ok {
		return reject("X-Priority-Class: not known")
	}
	ms, err := strconv.ParseInt(timeout, 10, 64)
	if err != nil || ms <= 0 || ms > maxTimeoutMS {
		return reject("X-Timeout-Ms: milliseconds expected")
	}
	job := &driver.Job{Name: id, Class: classIndex, ClassName: class, TenantName: tenant, Path: req.Target, Session: hashKey(session),
		SessionID: session, Timeout: time.Duration(ms) * time.Millisecond, Header: req.Header.EndToEnd(perAttemptFields...)}
	if reason := parseAttrs(attrs, job); reason != "" {
		return reject(reason)
	}
	return job, nil
}

// perAttemptFields are the header fields that each attempt sets itself. All other
// end-to-end fields are forwarded unchanged: workers may detect repeated requests by any
// of them, such as an idempotency key.
var perAttemptFields = []string{"X-Request-ID", "X-Timeout-Ms"}

var jobHeaders = [...]string{"X-Request-ID", "X-Priority-Class", "X-Route-Key", "X-Timeout-Ms", "X-Attrs", "X-Tenant-Id"}

// singleValue returns the value of a header field, empty if missing; ok is false if the field is repeated.
func singleValue(h http1.Header, name string) (value string, ok bool) {
	seen := false
	for _, f := range h {
		if strings.EqualFold(f.Name, name) {
			if seen {
				return "", false
			}
			seen, value = true, f.Value
		}
	}
	return value, true
}

// validRequestID reports whether s has 1 to maxRequestID letters, digits, '-', '_' or '.'.
func validRequestID(s string) bool {
	for i := range len(s) {
		c := s[i]
		if !(c >= 'a' && c <= 'z' || c >= 'A' && c <= 'Z' || c >= '0' && c <= '9' || c == '-' || c == '_' || c == '.') {
			return false
		}
	}
	return s != "" && len(s) <= maxRequestID
}

// parseAttrs parses X-Attrs, which describes the prompt; it returns the error, empty if there is none.
func parseAttrs(attrs string, job *driver.Job) string {
	for part := range strings.SplitSeq(attrs, ",") {
		name, value, ok := strings.Cut(strings.TrimSpace(part), "=")
		if name == "" && !ok {
			continue
		}
		if name == "prefix" {
			job.Prefix, job.PrefixName = hashKey(value), value
			continue
		}
		n, err := strconv.ParseUint(value, 10, 32)
		if err != nil || n > maxTokens {
			return "X-Attrs: " + strconv.Quote(name) + " is not a number of tokens"
		}
		switch name {
		case "prompt_len":
			job.PromptSize = float64(n)
		case "prefix_len":
			job.PrefixTokens = float64(n)
		case "max_out":
			job.MaxTokens = int(n)
		}
	}
	return ""
}

// hashKey maps the name of a session or of a shared prefix to a key of the decision module; 0: none.
func hashKey(text string) gannethook.Key {
	if text == "" {
		return 0
	}
	return gannethook.Key(max(xxhash.Sum64String(text), 1))
}
