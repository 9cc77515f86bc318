package uwsgi

import (
	"errors"
	"io"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"
	"github.com/google/go-cmp/cmp/cmpopts"

	"ryepaddle/internal/protocol/httpmessage"
)

// FuzzRead reads what it can, writes that again and reads the same; a part of it is never taken for
// the whole.
func FuzzRead(f *testing.F) {
	b, err := Append(
		nil,
		&Request{Variables: []Variable{{"CONTENT_LENGTH", "4"}, {"A", ""}}, Body: []byte("body")},
	)
	if err != nil {
		f.Fatal(err)
	}
	f.Add(b)
	f.Add([]byte("\x00\x04\x00\x00\x00\x00\x00\x00"))
	f.Fuzz(func(t *testing.T, b []byte) {
		r, n, err := Read(b, 4096, 4096)
		if err != nil || n == 0 {
			return
		}
		if _, part, err := Read(b[:n-1], 4096, 4096); part != 0 || err != nil {
			t.Fatalf("%d of %d bytes are read as %d, %v", n-1, n, part, err)
		}
		again, err := Append(nil, r)
		if err != nil {
			t.Fatal(err)
		}
		r2, _, err := Read(again, 4096, 4096)
		if diff := cmp.Diff(r, r2); diff != "" || err != nil {
			t.Fatalf("%v (-want +got)\n%s", err, diff)
		}
	})
}

const responseFields = "Content-Type: a/b\r\nConnection: close\r\n"

// forwardedFields are the fields of responseFields that do not concern a single connection.
var forwardedFields = []httpmessage.Field{{Name: "Content-Type", Value: "a/b"}}

// readResponseCases are responses by what is special about them. end tells that the stream ends behind
// the text, headOnly that the request was HEAD; err is a part of the error.
var readResponseCases = map[string]struct {
	text          string
	end, headOnly bool
	want          *Response
	err           string
}{
	"of a stated length": {
		"HTTP/1.1 200 OK\r\n" + responseFields + "Content-Length: 4\r\n\r\nbody",
		false,
		false,
		&Response{200, forwardedFields, []byte("body")},
		"",
	},
	"short of it": {"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nbody", true, false, nil, ""},
	"to the end": {
		"HTTP/1.0 404 None\r\n" + responseFields + "\r\nbody",
		true,
		false,
		&Response{404, forwardedFields, []byte("body")},
		"",
	},
	"before the end":     {"HTTP/1.0 200 OK\r\n\r\nbody", false, false, nil, ""},
	"a part of the head": {"HTTP/1.1 200 OK\r\nConte", true, false, nil, ""},
	"an interim one first": {
		"HTTP/1.1 100 Go\r\n\r\nHTTP/1.1 204 No\r\n\r\n",
		false,
		false,
		&Response{204, nil, []byte{}},
		"",
	},
	"the head alone": {
		"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\n",
		false,
		true,
		&Response{200, []httpmessage.Field{{Name: "Content-Length", Value: "9"}}, nil},
		"",
	},
	"not HTTP": {"hello\r\n\r\n", false, false, nil, "header"},
	"two lengths": {
		"HTTP/1.1 200 OK\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\n",
		false,
		false,
		nil,
		"Content-Length",
	},
	"chunks": {
		"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nbo\r\n2;x=y\r\ndy\r\n0\r\nA: " +
			"b\r\n\r\n",
		false,
		false,
		&Response{200, nil, []byte("body")},
		"",
	},
	"a CGI head": {
		"Status: 404 None\nContent-Type: a/b\n\nbody",
		true,
		false,
		&Response{404, forwardedFields, []byte("body")},
		"",
	},
	"a folded header": {"HTTP/1.1 200 OK\r\nA: b\r\n c: d\r\n\r\n", false, false, nil, "header"},
	"over its limit": {
		"HTTP/1.1 200 OK\r\nContent-Length: 999\r\n\r\n",
		false,
		false,
		nil,
		"over its limit",
	},
	"a head over its limit": {
		"HTTP/1.1 200 OK\r\nA: " + strings.Repeat("a", httpmessage.MaxHeadBytes),
		false,
		false,
		nil,
		"head over",
	},
}

func TestResponsesAreReadInAllFormsOfServers(t *testing.T) {
	for name, c := range readResponseCases {
		t.Run(name, func(t *testing.T) {
			got, err := readResponse([]byte(c.text), c.end, c.headOnly, 99)
			if (err != nil) != (c.err != "") || err != nil && !strings.Contains(err.Error(), c.err) {
				t.Fatalf("error %v, want %q", err, c.err)
			}
			if diff := cmp.Diff(c.want, got, cmpopts.EquateEmpty()); diff != "" {
				t.Errorf("(-want +got)\n%s", diff)
			}
		})
	}
}

func TestVariablesOverAPacketAreRejected(t *testing.T) {
	_, err := Append(
		nil,
		&Request{Variables: []Variable{{"A", strings.Repeat("a", 40000)}, {"B", strings.Repeat("b", 40000)}}},
	)
	if !errors.Is(err, ErrVariablesTooLong) {
		t.Fatalf("error %v", err)
	}
}

// FuzzReadResponse writes what it could read again: the same must be read from that, and nothing
// from a part of it.
func FuzzReadResponse(f *testing.F) {
	f.Add([]byte("HTTP/1.1 200 OK\r\nContent-Type: a/b\r\nContent-Length: 4\r\n\r\nbody"))
	f.Add([]byte("HTTP/1.0 404 None\r\nA:\r\n\r\n"))
	f.Fuzz(func(t *testing.T, b []byte) {
		r, err := readResponse(b, true, false, 4096)
		if err != nil || r == nil {
			return
		}
		again := AppendResponse(nil, r, false)
		r2, err := readResponse(again, false, false, 4096)
		if diff := cmp.Diff(r, r2, cmpopts.EquateEmpty()); diff != "" || err != nil {
			t.Fatalf("%v (-want +got)\n%s", err, diff)
		}
		if part, err := readResponse(again[:len(again)-1], true, false, 4096); part != nil || err != nil {
			t.Fatalf("a part is read as %v, %v", part, err)
		}
	})
}

// collector makes a whole response of what comes, in bounded memory.
type collector struct {
	reader   *httpmessage.ResponseReader
	headOnly bool
	most     int // bytes of the body
	resp     *Response
}

// newCollector begins a response with a body of at most so many bytes.
func newCollector(headOnly bool, maxBody int) *collector {
	return &collector{reader: httpmessage.NewResponseReader(headOnly), headOnly: headOnly, most: maxBody}
}

// take takes all it can from b and returns how much that was. The response is not nil once it is
// whole. One that is cut off at the end of the stream is io.ErrUnexpectedEOF.
func (c *collector) take(b []byte, end bool) (r *Response, used int, err error) {
	for {
		ev, n, err := c.reader.Next(b[used:], end)
		used += n
		switch {
		case err != nil:
			return nil, used, err
		case ev.Head != nil:
			if ev.Head.Length > c.most && !c.headOnly {
				return nil, used, ErrBodyTooLong
			}
			c.resp = &Response{Status: ev.Head.Status, Body: []byte{}}
			for _, f := range ev.Head.Fields {
				if !IsHopByHop(f.Name) && (c.headOnly || !strings.EqualFold(f.Name, "Content-Length")) {
					c.resp.Fields = append(c.resp.Fields, f)
				}
			}
			continue
		case len(c.bodyOf())+len(ev.Data) > c.most:
			return nil, used, ErrBodyTooLong
		case len(ev.Data) > 0:
			c.resp.Body = append(c.resp.Body, ev.Data...)
		}
		if ev.Done {
			return c.resp, used, nil
		}
		if n == 0 {
			return nil, used, nil
		}
	}
}

func (c *collector) bodyOf() []byte {
	if c.resp == nil {
		return nil
	}
	return c.resp.Body
}

// readResponse takes a response from b, the whole stream so far. Nil without an error means that
// more has to come, or, at the end of the stream, that it was cut off.
func readResponse(b []byte, end, headOnly bool, maxBody int) (*Response, error) {
	r, _, err := newCollector(headOnly, maxBody).take(b, end)
	if errors.Is(err, io.ErrUnexpectedEOF) {
		err = nil
	}
	return r, err
}
