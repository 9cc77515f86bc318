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

// FuzzRead checks that a decoded request is the same after it is encoded and decoded again, and that
// a truncated request is never decoded as complete.
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
			t.Fatalf("Read of the first %d of %d bytes used %d, error %v; want 0 and no error", n-1, n, part, err)
		}
		again, err := Append(nil, r)
		if err != nil {
			t.Fatal(err)
		}
		r2, _, err := Read(again, 4096, 4096)
		if diff := cmp.Diff(r, r2); diff != "" || err != nil {
			t.Fatalf("the encoded request is decoded with error %v (-want +got)\n%s", err, diff)
		}
	})
}

const responseFields = "Content-Type: a/b\r\nConnection: close\r\n"

// forwardedFields are the fields of responseFields that are not hop-by-hop.
var forwardedFields = []httpmessage.Field{{Name: "Content-Type", Value: "a/b"}}

// readResponseCases maps the property under test to a response. end states that the stream ends after
// the text, headOnly that the method of the request was HEAD. err is a part of the error message. A
// nil response without an error means that the response is incomplete.
var readResponseCases = map[string]struct {
	text          string
	end, headOnly bool
	want          *Response
	err           string
}{
	"a stated length": {
		"HTTP/1.1 200 OK\r\n" + responseFields + "Content-Length: 4\r\n\r\nbody",
		false,
		false,
		&Response{200, forwardedFields, []byte("body")},
		"",
	},
	"shorter than its stated length": {"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nbody", true, false, nil, ""},
	"a body that ends with the stream": {
		"HTTP/1.0 404 None\r\n" + responseFields + "\r\nbody",
		true,
		false,
		&Response{404, forwardedFields, []byte("body")},
		"",
	},
	"a body that ends with the stream, before its end": {"HTTP/1.0 200 OK\r\n\r\nbody", false, false, nil, ""},
	"a part of the head": {
		"HTTP/1.1 200 OK\r\nConte",
		true,
		false,
		nil,
		"",
	},
	"an interim response first": {
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
	"two different lengths": {
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
	"a body over its limit": {
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
				t.Fatalf("readResponse returned error %v, want %q", err, c.err)
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
		t.Fatalf("Append of variables over one packet returned error %v, want ErrVariablesTooLong", err)
	}
}

// FuzzReadResponse checks that a decoded response is the same after it is encoded and decoded again,
// and that a truncated response is never decoded as complete.
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
			t.Fatalf("the encoded response is decoded with error %v (-want +got)\n%s", err, diff)
		}
		if part, err := readResponse(again[:len(again)-1], true, false, 4096); part != nil || err != nil {
			t.Fatalf("a truncated response is decoded as %v, error %v; want neither", part, err)
		}
	})
}

// collector assembles a complete response from its parts, in bounded memory.
type collector struct {
	reader    *httpmessage.ResponseReader
	headOnly  bool
	bodyLimit int // bytes
	resp      *Response
}

// newCollector returns a collector of a response with a body of at most maxBody bytes.
func newCollector(headOnly bool, maxBody int) *collector {
	return &collector{reader: httpmessage.NewResponseReader(headOnly), headOnly: headOnly, bodyLimit: maxBody}
}

// take decodes all it can from b and returns how many bytes it used. The response is not nil once it
// is complete. For a response that is truncated by the end of the stream it returns
// io.ErrUnexpectedEOF.
func (c *collector) take(b []byte, end bool) (r *Response, used int, err error) {
	for {
		ev, n, err := c.reader.Next(b[used:], end)
		used += n
		switch {
		case err != nil:
			return nil, used, err
		case ev.Head != nil:
			if ev.Head.Length > c.bodyLimit && !c.headOnly {
				return nil, used, ErrBodyTooLong
			}
			c.resp = &Response{Status: ev.Head.Status, Body: []byte{}}
			for _, f := range ev.Head.Fields {
				if !IsHopByHop(f.Name) && (c.headOnly || !strings.EqualFold(f.Name, "Content-Length")) {
					c.resp.Fields = append(c.resp.Fields, f)
				}
			}
			continue
		case len(c.received())+len(ev.Data) > c.bodyLimit:
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

func (c *collector) received() []byte {
	if c.resp == nil {
		return nil
	}
	return c.resp.Body
}

// readResponse decodes a response from b, the whole stream so far. A nil response without an error
// is incomplete or, at the end of the stream, truncated.
func readResponse(b []byte, end, headOnly bool, maxBody int) (*Response, error) {
	r, _, err := newCollector(headOnly, maxBody).take(b, end)
	if errors.Is(err, io.ErrUnexpectedEOF) {
		err = nil
	}
	return r, err
}
